// Package config reads the configuration of a gateway: the platform's NODE_CONFIG and deploy/aspenshed.yaml. Errors
// name the invalid field.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"aspenshed"

	"aspenshed/internal/discovery"
	"aspenshed/internal/protocol/simwire"
)

// Node is the platform's configuration of one gateway, the file that NODE_CONFIG names.
type Node struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Known     discovery.List `json:"known"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	RawSettings json.RawMessage `json:"settings"`

	// ConfiguredDiscovery is the discovery address in the file, which NODE_DISCOVERY may override.
	ConfiguredDiscovery string             `json:"-"`
	Settings            aspenshed.Settings `json:"-"`
	Zones               []string           `json:"-"`
	MaxPending          int                `json:"-"`
}

// ReadNode reads the file that NODE_CONFIG names; the other environment variables override its fields.
func ReadNode(getenv func(string) string) (*Node, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	n := &Node{}
	if err := json.Unmarshal(data, n); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("%s: field %s: wrong type: %s", path, te.Field, te.Value)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	n.ConfiguredDiscovery = n.Discovery
	for _, v := range []struct {
		env  string
		into *string
	}{{"NODE_NAME", &n.Name}, {"NODE_LISTEN", &n.Listen}, {"NODE_DISCOVERY", &n.Discovery}} {
		if s := getenv(v.env); s != "" {
			*v.into = s
		}
	}
	if err := n.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return n, nil
}

func (n *Node) check() (err error) {
	switch {
	case n.Listen == "":
		return errors.New("field listen: missing")
	case n.Discovery == "":
		return errors.New("field discovery: missing")
	case !isHostPort(n.Listen):
		return fmt.Errorf("field listen: %q is not host:port", n.Listen)
	case !isHostPort(n.Discovery) || n.ConfiguredDiscovery != "" && !isHostPort(n.ConfiguredDiscovery):
		return fmt.Errorf("field discovery: %q is not host:port", n.ConfiguredDiscovery)
	case len(n.RawSettings) == 0:
		return errors.New("field settings: missing")
	case n.Limits.Sockets < 0 || n.Limits.Sockets > 0 && n.Limits.Sockets < 64:
		return errors.New("field limits.sockets: must be at least 64")
	case n.Limits.MemoryMB < 0:
		return errors.New("field limits.memory_mb: negative")
	}
	if n.Limits.Sockets == 0 {
		n.Limits.Sockets = 1024
	}
	if n.Limits.MemoryMB == 0 {
		n.Limits.MemoryMB = 192
	}
	if n.Settings, err = simwire.ParseSettings(n.RawSettings); err != nil {
		return err
	}
	var extra struct {
		Zones  []string `json:"failureDomains"`
		Limits struct {
			MaxPending int `json:"mostHeld"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(n.RawSettings, &extra); err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	n.Zones, n.MaxPending = extra.Zones, extra.Limits.MaxPending
	_, faults := discovery.Convert(n.Known, n.Zones)
	if err := discovery.StartupFaults(faults); err != nil {
		return fmt.Errorf("field known.%w", err)
	}
	return nil
}

func isHostPort(s string) bool {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// RestartFields returns the names of the fields that differ in next and take effect only after a restart.
func (n *Node) RestartFields(next *Node) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{{"name", n.Name == next.Name}, {"listen", n.Listen == next.Listen}, {"limits", n.Limits == next.Limits},
		{"settings", bytes.Equal(n.RawSettings, next.RawSettings)}} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// SeedNumber returns the seed as a number: its hexadecimal value, or else a hash of the text.
func (n *Node) SeedNumber() uint64 {
	if u, err := strconv.ParseUint(n.Seed, 16, 64); err == nil {
		return u
	}
	var u uint64 = 14695981039346656037
	for _, b := range []byte(n.Seed) {
		u = (u ^ uint64(b)) * 1099511628211
	}
	return u
}
