// Package simwire decodes the JSON lines of the adapter's protocol into events of package aspenshed, and encodes its
// actions as reply lines. It takes no decisions.
package simwire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"sort"
	"strings"

	"aspenshed"
)

// Item is an event of a batch for one instance. Exactly one of Start, Stop and Event is set.
type Item struct {
	Instance int64
	Start    *Start
	Stop     bool
	Event    aspenshed.Event
}

// Start creates an instance.
type Start struct {
	Seed     uint64
	Settings aspenshed.Settings
}

// Batch is a decoded input line.
type Batch struct {
	Now   aspenshed.Nanos
	Items []Item
}

// InstanceAction is an action of one instance.
type InstanceAction struct {
	Instance int64
	Action   aspenshed.Action
}

// Fault reports that the router of an instance has failed.
type Fault struct {
	Instance int64
	Text     string
}

// Decoder decodes batches. It keeps the numbered member lists, which all instances of the process share, and the zero
// point of the positions in the events of each instance.
type Decoder struct {
	lists        map[int64][]aspenshed.Member
	positionZero map[int64]aspenshed.Nanos
}

// NewDecoder returns a Decoder without lists or instances.
func NewDecoder() *Decoder {
	return &Decoder{lists: map[int64][]aspenshed.Member{}, positionZero: map[int64]aspenshed.Nanos{}}
}

type wireEvent struct {
	Op           *string             `json:"op"`
	Driver       *int64              `json:"driver"`
	Seed         json.Number         `json:"seed"`
	Setup        json.RawMessage     `json:"setup"`
	List         *int64              `json:"list"`
	Entries      *[]memberEntry      `json:"entries"`
	Scope        *string             `json:"scope"`
	Gen          *int64              `json:"gen"`
	Ticket       *string             `json:"ticket"`
	RemainingNs  *int64              `json:"remainingNs"`
	Qos          *int                `json:"qos"`
	ConnKey      string              `json:"connKey"`
	Owner        int                 `json:"owner"`
	SinceWriteMs float64             `json:"sinceWriteMs"`
	Cluster      *float64            `json:"cluster"`
	IsRetry      bool                `json:"isRetry"`
	Stand        int64               `json:"stand"`
	Complete     bool                `json:"complete"`
	SeqNo        *int                `json:"seqNo"`
	StateCode    *string             `json:"stateCode"`
	RttNs        *int64              `json:"rttNs"`
	Member       *string             `json:"member"`
	Load         map[string]*float64 `json:"load"`
	Label        *string             `json:"label"`
}

type memberEntry struct {
	Member    *string  `json:"member"`
	Az        int      `json:"az"`
	UpSinceNs int64    `json:"upSinceNs"`
	Units     *float64 `json:"units"`
	Cluster   int      `json:"cluster"`
	State     *string  `json:"state"`
	Machine   int      `json:"machine"`
	Leader    float64  `json:"leader"`
}

// FieldError reports a missing or malformed field of an input line.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

func missingField(field string) error { return &FieldError{field, "missing"} }

func unmarshal(data []byte, into any, prefix string) error {
	err := json.Unmarshal(data, into)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{prefix + typeErr.Field, "wrong type: " + typeErr.Value}
	}
	if err != nil {
		return &FieldError{strings.TrimSuffix(prefix, "."), err.Error()}
	}
	return nil
}

// Decode decodes one line. Events with an unknown op are skipped.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw struct {
		ClockNs *int64             `json:"clockNs"`
		Items   *[]json.RawMessage `json:"items"`
	}
	if err := unmarshal(line, &raw, ""); err != nil {
		return Batch{}, err
	}
	if raw.ClockNs == nil {
		return Batch{}, missingField("clockNs")
	}
	if raw.Items == nil {
		return Batch{}, missingField("items")
	}
	b := Batch{Now: aspenshed.Nanos(*raw.ClockNs)}
	for i, data := range *raw.Items {
		prefix := fmt.Sprintf("items[%d].", i)
		var head struct {
			Op *string `json:"op"`
		}
		if err := unmarshal(data, &head, prefix); err != nil {
			return Batch{}, err
		}
		if head.Op == nil {
			return Batch{}, missingField(prefix + "op")
		}
		need, known := requiredFields[*head.Op]
		if !known {
			continue
		}
		var e wireEvent
		if err := unmarshal(data, &e, prefix); err != nil {
			return Batch{}, err
		}
		for _, f := range need {
			if !e.hasField(f) {
				return Batch{}, missingField(prefix + f)
			}
		}
		item, err := d.decodeItem(&e, prefix)
		if err != nil {
			return Batch{}, err
		}
		if item != nil {
			b.Items = append(b.Items, *item)
		}
	}
	return b, nil
}

var requiredFields = map[string][]string{
	"provision":  {"driver", "seed", "setup"},
	"down":       {"driver"},
	"list":       {"list", "entries"},
	"sync":       {"driver", "scope"},
	"order":      {"driver", "ticket", "remainingNs", "qos", "cluster"},
	"flowing":    {"driver", "ticket", "seqNo", "member"},
	"answer":     {"driver", "ticket", "seqNo", "stateCode", "rttNs", "member"},
	"abandoned":  {"driver", "ticket"},
	"timer":      {"driver", "label"},
	"statusBack": {"driver", "member", "stateCode", "rttNs"},
}

func (e *wireEvent) hasField(field string) bool {
	switch field {
	case "driver":
		return e.Driver != nil
	case "seed":
		return e.Seed != ""
	case "setup":
		return len(e.Setup) > 0 && string(e.Setup) != "null"
	case "list":
		return e.List != nil
	case "entries":
		return e.Entries != nil
	case "scope":
		return e.Scope != nil
	case "ticket":
		return e.Ticket != nil
	case "remainingNs":
		return e.RemainingNs != nil
	case "qos":
		return e.Qos != nil
	case "cluster":
		return e.Cluster != nil
	case "seqNo":
		return e.SeqNo != nil
	case "stateCode":
		return e.StateCode != nil
	case "rttNs":
		return e.RttNs != nil
	case "member":
		return e.Member != nil
	case "label":
		return e.Label != nil
	}
	return false
}

func (d *Decoder) decodeItem(e *wireEvent, prefix string) (*Item, error) {
	if *e.Op == "list" {
		members, err := parseMembers(*e.Entries, prefix)
		d.lists[*e.List] = members
		return nil, err
	}
	item := &Item{Instance: *e.Driver}
	switch *e.Op {
	case "provision":
		seed, err := parseSeed(e.Seed)
		if err != nil {
			return nil, &FieldError{prefix + "seed", "wrong type"}
		}
		s, err := parseSettings(e.Setup, prefix+"setup.")
		if err != nil {
			return nil, err
		}
		d.positionZero[*e.Driver] = s.PositionEpoch
		item.Start = &Start{seed, s}
	case "down":
		item.Stop = true
	case "sync":
		if *e.Scope == "broken" {
			item.Event = aspenshed.DiscoveryFailed{}
			break
		}
		if e.List == nil {
			return nil, missingField(prefix + "list")
		}
		members, ok := d.lists[*e.List]
		if !ok {
			return nil, &FieldError{prefix + "list", "unknown list number"}
		}
		switch *e.Scope {
		case "patch", "whole", "stale_copy":
		default:
			return nil, &FieldError{prefix + "scope", "unknown value"}
		}
		item.Event = aspenshed.MemberList{Complete: *e.Scope != "patch", Cached: *e.Scope == "stale_copy", Members: members}
	case "order":
		item.Event = aspenshed.Request{ID: *e.Ticket, Class: *e.Qos, Group: int(*e.Cluster), Tenant: e.Owner,
			Session: e.ConnKey, Remaining: aspenshed.Nanos(*e.RemainingNs),
			SinceCommit: aspenshed.Nanos(math.Floor(e.SinceWriteMs * 1e6)), IsRetry: e.IsRetry}
	case "flowing": // ignored: no class streams its response, and an answer event follows
		return nil, nil
	case "answer":
		a := aspenshed.AttemptResult{ID: *e.Ticket, Attempt: *e.SeqNo, Member: *e.Member, Outcome: parseOutcome(*e.StateCode),
			Final: e.Complete, Duration: aspenshed.Nanos(*e.RttNs), Report: d.parseReport(*e.Driver, e.Load)}
		a.Role = aspenshed.Role(e.Stand & 3)
		if p := e.Stand >> 2; p > 0 {
			a.Position = d.positionZero[*e.Driver] + aspenshed.Nanos(p)*1e6
		}
		item.Event = a
	case "abandoned":
		item.Event = aspenshed.RequestWithdrawn{ID: *e.Ticket}
	case "timer":
		item.Event = aspenshed.TimerFired{Label: *e.Label}
	case "statusBack":
		item.Event = aspenshed.ProbeResult{Member: *e.Member, Outcome: parseOutcome(*e.StateCode), Duration: aspenshed.Nanos(*e.RttNs),
			Report: d.parseReport(*e.Driver, e.Load)}
	}
	return item, nil
}

func parseSeed(n json.Number) (uint64, error) {
	var u uint64
	if _, err := fmt.Sscan(string(n), &u); err == nil {
		return u, nil
	}
	i, err := n.Int64()
	return uint64(i), err
}

func parseMembers(entries []memberEntry, prefix string) ([]aspenshed.Member, error) {
	members := make([]aspenshed.Member, 0, len(entries))
	for i, e := range entries {
		at := fmt.Sprintf("%sentries[%d].", prefix, i)
		if e.Member == nil {
			return nil, missingField(at + "member")
		}
		if e.State == nil {
			return nil, missingField(at + "state")
		}
		m := aspenshed.Member{ID: *e.Member, Group: e.Cluster, Zone: e.Az, Weight: 1,
			StartedAt: aspenshed.Nanos(e.UpSinceNs), Primary: e.Leader == 1}
		if e.Units != nil && *e.Units > 0 {
			m.Weight = *e.Units
		}
		switch *e.State {
		case "U":
			m.State = aspenshed.Up
		case "L":
			m.State = aspenshed.Draining
		case "D":
			m.State = aspenshed.Removed
		default:
			return nil, &FieldError{at + "state", "unknown value"}
		}
		members = append(members, m)
	}
	return members, nil
}

var outcomesByCode = map[string]aspenshed.Outcome{
	"delivered": aspenshed.Served, "app_error": aspenshed.ErrorResponse, "shed": aspenshed.Overloaded, "expired": aspenshed.TimedOut,
	"dial_failed": aspenshed.ConnectFailed, "dropped": aspenshed.ConnectionLost, "revoked": aspenshed.Cancelled, "unused": aspenshed.NotSent,
	"empty": aspenshed.Ineligible,
}

func parseOutcome(code string) aspenshed.Outcome {
	if o, ok := outcomesByCode[code]; ok {
		return o
	}
	return aspenshed.UnknownOutcome
}

func (d *Decoder) parseReport(driver int64, load map[string]*float64) aspenshed.Report {
	var r aspenshed.Report
	if v := load["x0"]; v != nil {
		r.HasPosition = true
		r.Position = d.positionZero[driver] + aspenshed.Nanos(math.Floor(*v*1e9))
	}
	if v := load["x1"]; v != nil {
		r.HasRole, r.Primary = true, *v == 1
	}
	if v := load["backlog"]; v != nil {
		r.HasQueued, r.Queued = true, *v
	}
	if v := load["outstanding"]; v != nil {
		r.HasInFlight, r.InFlight = true, *v
	}
	return r
}

type setup struct {
	Routers int `json:"balancers"`
	Rank    int `json:"rank"`
	Zone    int `json:"zone"`
	Classes []struct {
		LatencyTargetNs      int64   `json:"aimNs"`
		LatencyTargetStretch float64 `json:"aimStretch"`
		RetrySafety          string  `json:"effect"`
		ClientTimeoutNs      int64   `json:"giveUpNs"`
		DedupScope           string  `json:"group"`
		LateValue            float64 `json:"lateWorth"`
		Name                 string  `json:"name"`
		DedupWindowNs        int64   `json:"repeatWindowNs"`
		Streamed             bool    `json:"streamed"`
		Value                float64 `json:"worth"`
	} `json:"classes"`
	ClientHabits struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Tenants []struct {
		Name     string  `json:"name"`
		QuotaRps float64 `json:"quotaRps"`
		Share    float64 `json:"share"`
	} `json:"customers"`
	Discovery      string   `json:"discovery"`
	FailureDomains []string `json:"failureDomains"`
	FamilyInfo     struct {
		PositionEpochNs       int64    `json:"baseTimeNs"`
		StalenessCheck        string   `json:"checks"`
		MaxStalenessNs        []int64  `json:"lagAllowedNs"`
		ListRole              string   `json:"listRole"`
		Notes                 string   `json:"notes"`
		Consistencies         []string `json:"readLevel"`
		ReportX0              string   `json:"reportX0"`
		ReportX1              string   `json:"reportX1"`
		Synchronous           bool     `json:"synchronous"`
		ResponsesHavePosition bool     `json:"tellsPosition"`
		TokenMode             string   `json:"tokenMode"`
		StalenessCheckWaitNs  int64    `json:"waitNs"`
	} `json:"familyInfo"`
	Goal          map[string]float64 `json:"goal"`
	KindOfService string             `json:"kindOfService"`
	Kinds         []string           `json:"kinds"`
	Limits        struct {
		MayCancel        bool    `json:"cancelling"`
		ConnectTimeoutNs int64   `json:"connectTimeoutNs"`
		CPUUsPerRequest  float64 `json:"cpuUsPerRequest"`
		CPUUsPerS        float64 `json:"cpuUsPerS"`
		IdleTimeoutNs    int64   `json:"idleCloseNs"`
		MaxRetryAfterNs  int64   `json:"maxRetryAfterNs"`
		MaxStreams       int     `json:"maxStreams"`
		MayTell          bool    `json:"mayTell"`
		MaxPending       int     `json:"mostHeld"`
		MayHedge         bool    `json:"parallelTries"`
		MayProbe         bool    `json:"probes"`
		SendRetryAfter   bool    `json:"retryAfter"`
		MaxAttempts      int     `json:"sendCap"`
	} `json:"limits"`
	OverQuotaValue    float64            `json:"overShareWorth"`
	Prices            map[string]float64 `json:"prices"`
	MinStepIntervalNs int64              `json:"quantumNs"`
	Rules             struct {
		ResponseSlackNs   int64   `json:"answerSlackNs"`
		NotifiedAfterNs   int64   `json:"askWithinNs"`
		WarmUpTimeNs      int64   `json:"coldNs"`
		DrainGraceNs      int64   `json:"drainGraceNs"`
		OverloadFactor    float64 `json:"fallMultiple"`
		OverloadWindowNs  int64   `json:"fallNs"`
		InitialCapacity   float64 `json:"startCapacity"`
		RemovalIsAdvisory bool    `json:"removalNotBinding"`
	} `json:"rules"`
	Stage     int `json:"stage"`
	Telemetry struct {
		Columns []string `json:"columns"`
		Source  string   `json:"source"`
	} `json:"telemetry"`
	Tiers        []string `json:"tiers"`
	WeightSource string   `json:"weightSource"`
	ValueBy      string   `json:"worthBy"`
}

// reportColumns are the columns of load reports that the adapter's protocol defines.
var reportColumns = map[string]bool{"outstanding": true, "backlog": true, "utilization": true, "recent_ms": true,
	"throughput": true, "errors_per_s": true, "x0": true, "x1": true}

// parseSettings decodes a settings object. prefix is the path of the object, for errors.
func parseSettings(data []byte, prefix string) (aspenshed.Settings, error) {
	var w setup
	if err := unmarshal(data, &w, prefix); err != nil {
		return aspenshed.Settings{}, err
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return aspenshed.Settings{}, &FieldError{prefix, err.Error()}
	}
	if w.Routers < 0 { // 0 or absent means unknown, and is taken as 1
		return aspenshed.Settings{}, &FieldError{prefix + "balancers", "not a positive number"}
	}
	limits, family, rules := w.Limits, w.FamilyInfo, w.Rules
	s := aspenshed.Settings{
		Routers: max(w.Routers, 1), Rank: w.Rank, Zone: w.Zone, MinStepInterval: aspenshed.Nanos(w.MinStepIntervalNs),
		OverQuotaValue: w.OverQuotaValue, WatchDiscovery: w.Discovery == "on_request",
		NotifiedAfter: aspenshed.Nanos(rules.NotifiedAfterNs), ListHasRoles: family.ListRole == "late" || family.ListRole == "start",
		PositionEpoch: aspenshed.Nanos(family.PositionEpochNs), ResponsesHaveRole: true, ResponsesHavePosition: family.ResponsesHavePosition,
		ResponsesHaveReport: w.Telemetry.Source == "answers", TrackSessionWrites: family.TokenMode == "remembered",
		MembersCheckStaleness: family.StalenessCheck == "wait" || family.StalenessCheck == "refuse", StalenessCheckWait: aspenshed.Nanos(family.StalenessCheckWaitNs),
		MayProbe: limits.MayProbe, MayCancel: limits.MayCancel, MayHedge: limits.MayHedge, SendRetryAfter: limits.SendRetryAfter,
		MaxAttempts: limits.MaxAttempts, MaxRetryAfter: aspenshed.Nanos(limits.MaxRetryAfterNs),
		ConnectTimeout: aspenshed.Nanos(limits.ConnectTimeoutNs), IdleTimeout: aspenshed.Nanos(limits.IdleTimeoutNs), ResponseSlack: aspenshed.Nanos(rules.ResponseSlackNs),
		DrainGrace: aspenshed.Nanos(rules.DrainGraceNs), RemovalIsAdvisory: rules.RemovalIsAdvisory,
		InitialCapacity: rules.InitialCapacity, WarmUpTime: aspenshed.Nanos(rules.WarmUpTimeNs), OverloadFactor: rules.OverloadFactor,
		OverloadWindow: aspenshed.Nanos(rules.OverloadWindowNs), ProbeCost: w.Prices["probe"], CrossZoneCost: w.Prices["crossZone"],
		WastedWorkCost: w.Prices["waste"], LateFailureCost: w.Prices["lateFail"],
		UnknownKeys: unknownKeys(tree, reflect.TypeOf(w), ""),
	}
	for _, c := range w.Telemetry.Columns {
		if !reportColumns[c] {
			s.UnknownKeys = append(s.UnknownKeys, "report column "+c)
		}
	}
	effects := map[string]aspenshed.RetrySafety{"free": aspenshed.Safe, "guarded": aspenshed.Deduplicated, "single_shot": aspenshed.Unsafe}
	consistencies := map[string]aspenshed.Consistency{"any": aspenshed.Eventual, "bounded": aspenshed.BoundedStaleness, "session": aspenshed.ReadYourWrites,
		"fresh": aspenshed.Linearizable, "write": aspenshed.Write}
	scopes := map[string]aspenshed.DedupScope{"all": aspenshed.DedupAll, "zone": aspenshed.DedupZone, "cell": aspenshed.DedupGroup}
	for i, c := range w.Classes {
		class := aspenshed.Class{Name: c.Name, LatencyTarget: aspenshed.Nanos(c.LatencyTargetNs), ClientTimeout: aspenshed.Nanos(c.ClientTimeoutNs), Value: c.Value,
			LateValue: c.LateValue, RetrySafety: effects[c.RetrySafety], DedupWindow: aspenshed.Nanos(c.DedupWindowNs)}
		if scope, ok := scopes[c.DedupScope]; ok {
			class.DedupScope = scope
		} else if c.RetrySafety == "guarded" {
			class.RetrySafety = 0
		}
		if i < len(family.Consistencies) {
			class.Consistency = consistencies[family.Consistencies[i]]
		}
		if i < len(family.MaxStalenessNs) {
			class.MaxStaleness = aspenshed.Nanos(family.MaxStalenessNs[i])
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range w.Tenants {
		s.Tenants = append(s.Tenants, aspenshed.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	return s, nil
}

// unknownKeys returns the sorted paths of the keys of a decoded object for which its Go type has no field.
func unknownKeys(v any, t reflect.Type, path string) []string {
	var out []string
	switch t.Kind() {
	case reflect.Slice:
		list, _ := v.([]any)
		for _, x := range list {
			for _, k := range unknownKeys(x, t.Elem(), path) {
				if len(out) == 0 || out[len(out)-1] != k {
					out = append(out, k)
				}
			}
		}
	case reflect.Struct:
		obj, _ := v.(map[string]any)
		fields := map[string]reflect.Type{}
		for i := 0; i < t.NumField(); i++ {
			fields[t.Field(i).Tag.Get("json")] = t.Field(i).Type
		}
		keys := make([]string, 0, len(obj))
		for k := range obj {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			if ft, ok := fields[k]; ok {
				out = append(out, unknownKeys(obj[k], ft, path+k+".")...)
			} else {
				out = append(out, path+k)
			}
		}
	}
	return out
}

// ParseSettings parses a settings object on its own, as in the configuration of a gateway.
func ParseSettings(data []byte) (aspenshed.Settings, error) { return parseSettings(data, "settings.") }
