// Package simwire turns the JSON lines of the adapter's protocol into the events
// of package aspenshed and its actions into reply lines. It decides nothing.
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

// Item is one event of a batch for one instance. Exactly one of Start, Stop
// and Event is set.
type Item struct {
	Instance int64
	Start    *Start
	Stop     bool
	Event    aspenshed.Event
}

// Start is the birth of an instance.
type Start struct {
	Seed     uint64
	Settings aspenshed.Settings
}

// Batch is one input line.
type Batch struct {
	Now   aspenshed.Nanos
	Items []Item
}

// InstanceAction is an action of one instance.
type InstanceAction struct {
	Instance int64
	Action   aspenshed.Action
}

// Fault reports that an instance's decisions failed.
type Fault struct {
	Instance int64
	Text     string
}

// Decoder reads batches. It remembers the numbered member lists, which belong
// to the whole process, and what each instance's settings say about the form
// of its events.
type Decoder struct {
	lists        map[int64][]aspenshed.Member
	positionZero map[int64]aspenshed.Nanos
}

// NewDecoder returns an empty Decoder.
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

// FieldError says which field of an input line is missing or malformed.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

func missingField(field string) error { return &FieldError{field, "missing"} }

func unmarshal(data []byte, into any, where string) error {
	err := json.Unmarshal(data, into)
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return &FieldError{where + te.Field, "wrong type: " + te.Value}
	}
	if err != nil {
		return &FieldError{strings.TrimSuffix(where, "."), err.Error()}
	}
	return nil
}

// Decode reads one line. Events whose op is unknown are skipped.
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
		where := fmt.Sprintf("items[%d].", i)
		var head struct {
			Op *string `json:"op"`
		}
		if err := unmarshal(data, &head, where); err != nil {
			return Batch{}, err
		}
		if head.Op == nil {
			return Batch{}, missingField(where + "op")
		}
		need, known := requiredFields[*head.Op]
		if !known {
			continue
		}
		var e wireEvent
		if err := unmarshal(data, &e, where); err != nil {
			return Batch{}, err
		}
		for _, f := range need {
			if !e.hasField(f) {
				return Batch{}, missingField(where + f)
			}
		}
		it, err := d.decodeItem(&e, where)
		if err != nil {
			return Batch{}, err
		}
		if it != nil {
			b.Items = append(b.Items, *it)
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

func (d *Decoder) decodeItem(e *wireEvent, where string) (*Item, error) {
	if *e.Op == "list" {
		ms, err := parseMembers(*e.Entries, where)
		d.lists[*e.List] = ms
		return nil, err
	}
	it := &Item{Instance: *e.Driver}
	switch *e.Op {
	case "provision":
		seed, err := parseSeed(e.Seed)
		if err != nil {
			return nil, &FieldError{where + "seed", "wrong type"}
		}
		s, err := parseSettings(e.Setup, where+"setup.")
		if err != nil {
			return nil, err
		}
		d.positionZero[*e.Driver] = s.PositionEpoch
		it.Start = &Start{seed, s}
	case "down":
		it.Stop = true
	case "sync":
		if *e.Scope == "broken" {
			it.Event = aspenshed.DiscoveryFailed{}
			break
		}
		if e.List == nil {
			return nil, missingField(where + "list")
		}
		ms, ok := d.lists[*e.List]
		if !ok {
			return nil, &FieldError{where + "list", "no list of that number"}
		}
		switch *e.Scope {
		case "patch", "whole", "stale_copy":
		default:
			return nil, &FieldError{where + "scope", "unknown value"}
		}
		it.Event = aspenshed.MemberList{Complete: *e.Scope != "patch", Cached: *e.Scope == "stale_copy", Members: ms}
	case "order":
		it.Event = aspenshed.Request{ID: *e.Ticket, Class: *e.Qos, Group: int(*e.Cluster), Tenant: e.Owner,
			Session: e.ConnKey, Remaining: aspenshed.Nanos(*e.RemainingNs),
			SinceCommit: aspenshed.Nanos(math.Floor(e.SinceWriteMs * 1e6)), IsRetry: e.IsRetry}
	case "flowing": // no class streams here; its answer follows
		return nil, nil
	case "answer":
		a := aspenshed.AttemptResult{ID: *e.Ticket, Attempt: *e.SeqNo, Member: *e.Member, Outcome: parseOutcome(*e.StateCode),
			Final: e.Complete, Duration: aspenshed.Nanos(*e.RttNs), Report: d.parseReport(*e.Driver, e.Load)}
		a.Role = aspenshed.Role(e.Stand & 3)
		if p := e.Stand >> 2; p > 0 {
			a.Position = d.positionZero[*e.Driver] + aspenshed.Nanos(p)*1e6
		}
		it.Event = a
	case "abandoned":
		it.Event = aspenshed.RequestWithdrawn{ID: *e.Ticket}
	case "timer":
		it.Event = aspenshed.TimerFired{Label: *e.Label}
	case "statusBack":
		it.Event = aspenshed.ProbeResult{Member: *e.Member, Outcome: parseOutcome(*e.StateCode), Duration: aspenshed.Nanos(*e.RttNs),
			Report: d.parseReport(*e.Driver, e.Load)}
	}
	return it, nil
}

func parseSeed(n json.Number) (uint64, error) {
	var u uint64
	if _, err := fmt.Sscan(string(n), &u); err == nil {
		return u, nil
	}
	i, err := n.Int64()
	return uint64(i), err
}

func parseMembers(entries []memberEntry, where string) ([]aspenshed.Member, error) {
	ms := make([]aspenshed.Member, 0, len(entries))
	for i, e := range entries {
		at := fmt.Sprintf("%sentries[%d].", where, i)
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
		ms = append(ms, m)
	}
	return ms, nil
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
	Balancers int `json:"balancers"`
	Rank      int `json:"rank"`
	Zone      int `json:"zone"`
	Classes   []struct {
		AimNs          int64   `json:"aimNs"`
		AimStretch     float64 `json:"aimStretch"`
		Effect         string  `json:"effect"`
		GiveUpNs       int64   `json:"giveUpNs"`
		Group          string  `json:"group"`
		LateWorth      float64 `json:"lateWorth"`
		Name           string  `json:"name"`
		RepeatWindowNs int64   `json:"repeatWindowNs"`
		Streamed       bool    `json:"streamed"`
		Worth          float64 `json:"worth"`
	} `json:"classes"`
	ClientHabits struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Customers []struct {
		Name     string  `json:"name"`
		QuotaRps float64 `json:"quotaRps"`
		Share    float64 `json:"share"`
	} `json:"customers"`
	Discovery      string   `json:"discovery"`
	FailureDomains []string `json:"failureDomains"`
	FamilyInfo     struct {
		BaseTimeNs    int64    `json:"baseTimeNs"`
		Checks        string   `json:"checks"`
		LagAllowedNs  []int64  `json:"lagAllowedNs"`
		ListRole      string   `json:"listRole"`
		Notes         string   `json:"notes"`
		ReadLevel     []string `json:"readLevel"`
		ReportX0      string   `json:"reportX0"`
		ReportX1      string   `json:"reportX1"`
		Synchronous   bool     `json:"synchronous"`
		TellsPosition bool     `json:"tellsPosition"`
		TokenMode     string   `json:"tokenMode"`
		WaitNs        int64    `json:"waitNs"`
	} `json:"familyInfo"`
	Goal          map[string]float64 `json:"goal"`
	KindOfService string             `json:"kindOfService"`
	Kinds         []string           `json:"kinds"`
	Limits        struct {
		Cancelling       bool    `json:"cancelling"`
		ConnectTimeoutNs int64   `json:"connectTimeoutNs"`
		CPUUsPerRequest  float64 `json:"cpuUsPerRequest"`
		CPUUsPerS        float64 `json:"cpuUsPerS"`
		IdleCloseNs      int64   `json:"idleCloseNs"`
		MaxRetryAfterNs  int64   `json:"maxRetryAfterNs"`
		MaxStreams       int     `json:"maxStreams"`
		MayTell          bool    `json:"mayTell"`
		MostHeld         int     `json:"mostHeld"`
		ParallelTries    bool    `json:"parallelTries"`
		Probes           bool    `json:"probes"`
		RetryAfter       bool    `json:"retryAfter"`
		SendCap          int     `json:"sendCap"`
	} `json:"limits"`
	OverShareWorth float64            `json:"overShareWorth"`
	Prices         map[string]float64 `json:"prices"`
	QuantumNs      int64              `json:"quantumNs"`
	Rules          struct {
		AnswerSlackNs     int64   `json:"answerSlackNs"`
		AskWithinNs       int64   `json:"askWithinNs"`
		ColdNs            int64   `json:"coldNs"`
		DrainGraceNs      int64   `json:"drainGraceNs"`
		FallMultiple      float64 `json:"fallMultiple"`
		FallNs            int64   `json:"fallNs"`
		StartCapacity     float64 `json:"startCapacity"`
		RemovalNotBinding bool    `json:"removalNotBinding"`
	} `json:"rules"`
	Stage     int `json:"stage"`
	Telemetry struct {
		Columns []string `json:"columns"`
		Source  string   `json:"source"`
	} `json:"telemetry"`
	Tiers        []string `json:"tiers"`
	WeightSource string   `json:"weightSource"`
	WorthBy      string   `json:"worthBy"`
}

// reportColumns are the report values that the wire page names.
var reportColumns = map[string]bool{"outstanding": true, "backlog": true, "utilization": true, "recent_ms": true,
	"throughput": true, "errors_per_s": true, "x0": true, "x1": true}

func parseSettings(data []byte, where string) (aspenshed.Settings, error) {
	var w setup
	if err := unmarshal(data, &w, where); err != nil {
		return aspenshed.Settings{}, err
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return aspenshed.Settings{}, &FieldError{where, err.Error()}
	}
	if w.Balancers < 0 { // absent and 0: it is not told, and there is one at least
		return aspenshed.Settings{}, &FieldError{where + "balancers", "not a positive number"}
	}
	l, f, ru := w.Limits, w.FamilyInfo, w.Rules
	s := aspenshed.Settings{
		Routers: max(w.Balancers, 1), Rank: w.Rank, Zone: w.Zone, MinStepInterval: aspenshed.Nanos(w.QuantumNs),
		OverQuotaValue: w.OverShareWorth, WatchDiscovery: w.Discovery == "on_request",
		NotifiedAfter: aspenshed.Nanos(ru.AskWithinNs), ListHasRoles: f.ListRole == "late" || f.ListRole == "start",
		PositionEpoch: aspenshed.Nanos(f.BaseTimeNs), ResponsesHavePosition: f.TellsPosition,
		ResponsesHaveReport: w.Telemetry.Source == "answers", TrackSessionWrites: f.TokenMode == "remembered",
		MembersCheckStaleness: f.Checks == "wait" || f.Checks == "refuse", StalenessCheckWait: aspenshed.Nanos(f.WaitNs),
		MayProbe: l.Probes, MayCancel: l.Cancelling, MayHedge: l.ParallelTries, SendRetryAfter: l.RetryAfter,
		MaxAttempts: l.SendCap, MaxRetryAfter: aspenshed.Nanos(l.MaxRetryAfterNs),
		ConnectTimeout: aspenshed.Nanos(l.ConnectTimeoutNs), IdleTimeout: aspenshed.Nanos(l.IdleCloseNs), ResponseSlack: aspenshed.Nanos(ru.AnswerSlackNs),
		DrainGrace: aspenshed.Nanos(ru.DrainGraceNs), RemovalIsAdvisory: ru.RemovalNotBinding,
		InitialCapacity: ru.StartCapacity, WarmUpTime: aspenshed.Nanos(ru.ColdNs), OverloadFactor: ru.FallMultiple,
		OverloadWindow: aspenshed.Nanos(ru.FallNs), ProbeCost: w.Prices["probe"], CrossZoneCost: w.Prices["crossZone"],
		WastedWorkCost: w.Prices["waste"], LateFailureCost: w.Prices["lateFail"],
		UnknownKeys: unknownKeys(tree, reflect.TypeOf(w), ""),
	}
	for _, c := range w.Telemetry.Columns {
		if !reportColumns[c] {
			s.UnknownKeys = append(s.UnknownKeys, "report column "+c)
		}
	}
	effects := map[string]aspenshed.RetrySafety{"free": aspenshed.Safe, "guarded": aspenshed.Deduplicated, "single_shot": aspenshed.Unsafe}
	needs := map[string]aspenshed.Consistency{"any": aspenshed.Eventual, "bounded": aspenshed.BoundedStaleness, "session": aspenshed.ReadYourWrites,
		"fresh": aspenshed.Linearizable, "write": aspenshed.Write}
	scopes := map[string]aspenshed.DedupScope{"all": aspenshed.DedupAll, "zone": aspenshed.DedupZone, "cell": aspenshed.DedupGroup}
	for i, c := range w.Classes {
		k := aspenshed.Class{Name: c.Name, LatencyTarget: aspenshed.Nanos(c.AimNs), ClientTimeout: aspenshed.Nanos(c.GiveUpNs), Value: c.Worth,
			LateValue: c.LateWorth, RetrySafety: effects[c.Effect], DedupWindow: aspenshed.Nanos(c.RepeatWindowNs)}
		if sc, ok := scopes[c.Group]; ok {
			k.DedupScope = sc
		} else if c.Effect == "guarded" {
			k.RetrySafety = 0
		}
		if i < len(f.ReadLevel) {
			k.Consistency = needs[f.ReadLevel[i]]
		}
		if i < len(f.LagAllowedNs) {
			k.MaxStaleness = aspenshed.Nanos(f.LagAllowedNs[i])
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range w.Customers {
		s.Tenants = append(s.Tenants, aspenshed.Tenant{Name: t.Name, Quota: t.QuotaRps})
	}
	return s, nil
}

// unknownKeys lists the keys of a decoded object that its Go type has no
// field for, with their paths, in order.
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

// ParseSettings reads the settings object by itself, as a real gateway's configuration holds it.
func ParseSettings(data []byte) (aspenshed.Settings, error) { return parseSettings(data, "settings.") }
