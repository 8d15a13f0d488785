package soak

import (
	"encoding/json"
	"fmt"
	"time"
)

// class is a class of requests. meanWork is what a request costs a database.
type class struct {
	name      string
	write     bool
	staleness time.Duration // 0: any
	target    time.Duration
	deadline  time.Duration
	share     float64 // of all requests
	meanWork  float64 // s
}

// classes are two kinds of reads and writes: gateways expect a quarter of the target as work, databases feel meanWork.
var classes = []class{
	{name: "point-read", staleness: 300 * time.Millisecond, target: 400 * time.Millisecond, deadline: time.Second, share: 0.45, meanWork: 0.06},
	{name: "report", target: 750 * time.Millisecond, deadline: 2 * time.Second, share: 0.37, meanWork: 0.14},
	{name: "order", write: true, target: 750 * time.Millisecond, deadline: 3 * time.Second, share: 0.18, meanWork: 0.11},
}

var zones = []string{"east", "west"}

func meanWork() (mean float64) {
	for _, c := range classes {
		mean += c.share * c.meanWork
	}
	return mean
}

func classIndex(name string) int {
	for i, c := range classes {
		if c.name == name {
			return i
		}
	}
	return -1
}

// longestDeadline bounds how soon SIGKILL may follow SIGTERM.
func longestDeadline() (longest time.Duration) {
	for _, c := range classes {
		longest = max(longest, c.deadline)
	}
	return longest
}

type object = map[string]any

// settingsJSON encodes the settings of the gateways in the platform's form.
func (p *Plan) settingsJSON(rank int) json.RawMessage {
	var list []object
	var readLevel []string
	var lagAllowed []time.Duration
	for _, c := range classes {
		effect, level := "free", "any"
		switch {
		case c.write:
			effect, level = "single_shot", "write"
		case c.staleness > 0:
			level = "bounded"
		}
		list = append(list, object{"name": c.name, "effect": effect, "group": "all", "aimNs": c.target, "giveUpNs": c.deadline,
			"worth": 1, "lateWorth": 0.2, "repeatWindowNs": 5 * time.Second, "streamed": false})
		readLevel, lagAllowed = append(readLevel, level), append(lagAllowed, c.staleness)
	}
	settings := object{"balancers": p.Gateways, "rank": rank, "zone": rank % len(zones), "failureDomains": zones, "classes": list,
		"discovery": "on_request", "quantumNs": 5 * time.Millisecond, "weightSource": "none", "worthBy": "request",
		"familyInfo": object{"baseTimeNs": 0, "checks": "none", "lagAllowedNs": lagAllowed, "listRole": "late", "readLevel": readLevel,
			"reportX0": "position in seconds after zero", "reportX1": "1 from a primary", "tellsPosition": false, "tokenMode": "carried"},
		"limits": object{"cancelling": true, "connectTimeoutNs": 250 * time.Millisecond, "idleCloseNs": 15 * time.Second, "maxRetryAfterNs": time.Second,
			"maxStreams": 1, "mayTell": false, "mostHeld": 20000, "parallelTries": false, "probes": true, "retryAfter": false, "sendCap": 10},
		"prices": object{"crossZone": 0.037, "lateFail": 0.063, "probe": 0.021, "waste": 0.03},
		"rules": object{"answerSlackNs": 20 * time.Millisecond, "askWithinNs": 10 * time.Second, "drainGraceNs": drainGrace,
			"coldNs": p.WarmUpTime, "startCapacity": p.InitialCapacity, "fallMultiple": overloadFactor, "fallNs": overloadWindow},
		"telemetry": object{"columns": []string{"x0", "x1", "backlog"}, "source": "probe"}}
	b, err := json.Marshal(settings)
	if err != nil {
		panic(fmt.Sprint("soak: settings of plain values: ", err))
	}
	return b
}
