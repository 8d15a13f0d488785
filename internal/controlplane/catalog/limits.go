package catalog

// Limits of the state. Beyond a limit, a command is refused with a reason or the oldest item is dropped, as stated
// here. The limits of members, groups, instances and origins are at least twice the planned fleet of 21,000 members in
// 3,500 groups and 2,400 gateways.
const (
	maxConfigs          = 8               // versions kept; the oldest is dropped
	maxPairs            = 1024            // further keys are refused
	maxValueBytes       = 64 << 10        // bytes of a pair's value or of the configuration
	maxMembers          = 4 * 21000       // twice the fleet, and as many again while one inventory replaces another
	maxUnknownCommands  = 1024            // commands of later releases; further ones are counted in later_lost
	maxOrigins          = 8192            // senders with remembered results, three per gateway as they restart
	originEvictionBatch = maxOrigins / 16 // dropped together when there are too many: the longest inactive
	maxRecentResults    = 64              // results remembered per sender: as many as a batch has commands
	maxLeasesPerHolder  = 4               // per instance and member: the current one and unexpired replaced ones
	tombstoneSlack      = 256             // tombstones kept beyond twice the number of members; the oldest are dropped
	maxGroups           = 8192            // groups that an instance may report, and groups with a known primary
	maxClasses          = 256             // classes that an instance may report
	maxRateAge          = 2.5e9           // ns: older learned rates are left out of the sum
	warmedUpStartAge    = 600 * 1e9       // ns: a start reported as older is warmed up, whatever the clock offset
	minLeaseShare       = 2e-5            // least leased part of a budget: a fifth of an equal share of 4,800 instances
	minDemandWeight     = 0.1             // of the mean demand: the weight of an instance without traffic
	maxInstances        = 2 * 2400        // upper bound of most_instances
)
