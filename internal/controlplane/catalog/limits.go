package catalog

// The bounds. What lies beyond one is turned down with a reason, or the oldest goes, as said here. Those of members,
// groups, instances and origins are at least twice the fleet that is planned for: 21,000 members in 3,500 groups and
// 2,400 gateways.
const (
	maxConfigs          = 8               // versions kept; the oldest goes
	maxPairs            = 1024            // further keys are turned down
	maxValueBytes       = 64 << 10        // bytes of a pair's value or of the configuration
	maxMembers          = 4 * 21000       // twice the fleet, and as many again while one inventory takes the place of another
	maxUnknownCommands  = 1024            // commands of later releases; further ones are counted in later_lost
	maxOrigins          = 8192            // writers whose last commands are known, three for each gateway as they restart
	originEvictionBatch = maxOrigins / 16 // dropped at once when there are too many: those longest silent
	maxRecentResults    = 64              // results remembered of each writer: as many as one batch holds
	maxLeasesPerHolder  = 4               // that one instance may hold of one member: the one in force and those running out
	tombstoneSlack      = 256             // tombstones kept beyond twice the members present; the oldest goes
	maxGroups           = 8192            // groups that an instance may speak of, and whose primaries are known
	maxClasses          = 256             // classes
	maxRateAge          = 2.5e9           // ns: learned rates that are older than the newest by more are not added to it
	warmedUpStartAge    = 600 * 1e9       // ns: a start told as older than this is past its cold time, whatever the clocks' offset
	minLeaseShare       = 2e-5            // part of a cold member's budget too small to be worth a lease: a fifth of what 4,800 instances get
	minDemandWeight     = 0.1             // of the mean want: what an instance without traffic still counts for
	maxInstances        = 2 * 2400        // most_instances allows fewer; further ones are turned down
)
