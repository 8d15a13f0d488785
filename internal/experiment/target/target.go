// Package target is the fleet that the operators ask for, and what follows from it by arithmetic alone.
package target

// The operators' figures.
const (
	Gateways                = 2400.0
	Databases               = 21000.0
	ClientConnections       = 16e6
	StatementsPerSecond     = 2.9e6 // a second
	PrimaryChangesPerDay    = 15.0  // a day
	MaxPrimaryChangeSeconds = 12.0  // s, from the loss of a primary until writes are served again
	Regions                 = 7.0
	Zones                   = 19.0
	ConfigChangesPerDay     = 63000.0 // a day
	MaxApplySeconds         = 11.0    // s, from a commit until it is in force at every gateway
	ControlCores            = 0.021   // of a gateway
	ControlMemoryBytes      = 128e6   // B, of a gateway
	ControlBytesPerSecond   = 7000.0  // B/s, of a gateway
	ControlMachines         = 17.0
	MachineFailuresPerDay   = 64.0   // a day
	RestartsPerDay          = 5000.0 // a day
)

// Assumed is what the operators have not told and the experiments need.
const (
	GroupSize        = 6.0   // databases of a group
	DatabaseCapacity = 400.0 // statements a second of one database, as the stand-ins have it
)

const secondsPerDay = 86400.0

// StatementsPerGateway is the load of one gateway a second.
func StatementsPerGateway() float64 { return StatementsPerSecond / Gateways }

// ClientsPerGateway is the number of client connections of one gateway.
func ClientsPerGateway() float64 { return ClientConnections / Gateways }

// GatewaysPerZone is how many gateways go with a zone.
func GatewaysPerZone() float64 { return Gateways / Zones }

// GatewaysPerRegion is how many gateways a region's cut leaves alone.
func GatewaysPerRegion() float64 { return Gateways / Regions }

// DatabasesPerZone is how many databases go with a zone.
func DatabasesPerZone() float64 { return Databases / Zones }

// Groups is the number of replicated groups.
func Groups() float64 { return Databases / GroupSize }

// StatementsPerDatabase is the load of one database a second.
func StatementsPerDatabase() float64 { return StatementsPerSecond / Databases }

// StatementsPerGroup is the load of one group a second, from all gateways.
func StatementsPerGroup() float64 { return StatementsPerSecond / Groups() }

// ChangesPerSecond is the mean rate of configuration changes.
func ChangesPerSecond() float64 { return ConfigChangesPerDay / secondsPerDay }

// RestartsPerSecond is the mean rate of restarts and replacements.
func RestartsPerSecond() float64 { return RestartsPerDay / secondsPerDay }
