// Package target holds the fleet size and limits that the operators require, and quantities derived from them.
package target

// The operators' requirements.
const (
	Gateways                = 2400.0
	Databases               = 21000.0
	ClientConnections       = 16e6
	StatementsPerSecond     = 2.9e6 // per second
	PrimaryChangesPerDay    = 15.0  // per day
	MaxPrimaryChangeSeconds = 12.0  // s, from the loss of a primary until writes are served again
	Regions                 = 7.0
	Zones                   = 19.0
	ConfigChangesPerDay     = 63000.0 // per day
	MaxApplySeconds         = 11.0    // s, from a commit until it is applied at every gateway
	ControlCores            = 0.021   // per gateway
	ControlMemoryBytes      = 128e6   // B, per gateway
	ControlBytesPerSecond   = 7000.0  // B/s, per gateway
	ControlMachines         = 17.0
	MachineFailuresPerDay   = 64.0   // per day
	RestartsPerDay          = 5000.0 // per day
)

// Assumptions that the experiments need and the operators have not specified.
const (
	GroupSize        = 6.0   // databases per group
	DatabaseCapacity = 400.0 // statements per second of one database, as in the stand-in databases
)

const secondsPerDay = 86400.0

// StatementsPerGateway is the load of one gateway per second.
func StatementsPerGateway() float64 { return StatementsPerSecond / Gateways }

// ClientsPerGateway is the number of client connections of one gateway.
func ClientsPerGateway() float64 { return ClientConnections / Gateways }

// GatewaysPerZone is the number of gateways lost with a zone.
func GatewaysPerZone() float64 { return Gateways / Zones }

// GatewaysPerRegion is the number of gateways that are isolated when a region is cut off.
func GatewaysPerRegion() float64 { return Gateways / Regions }

// DatabasesPerZone is the number of databases lost with a zone.
func DatabasesPerZone() float64 { return Databases / Zones }

// Groups is the number of replicated groups.
func Groups() float64 { return Databases / GroupSize }

// StatementsPerDatabase is the load of one database per second.
func StatementsPerDatabase() float64 { return StatementsPerSecond / Databases }

// StatementsPerGroup is the load of one group per second, from all gateways.
func StatementsPerGroup() float64 { return StatementsPerSecond / Groups() }

// ChangesPerSecond is the mean rate of configuration changes.
func ChangesPerSecond() float64 { return ConfigChangesPerDay / secondsPerDay }

// RestartsPerSecond is the mean rate of restarts and replacements.
func RestartsPerSecond() float64 { return RestartsPerDay / secondsPerDay }
