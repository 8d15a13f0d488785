// Package inventory reads and writes member lists in CSV or YAML, the formats of configuration tools. An invalid file
// is rejected as a whole, with line and field of the error.
package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"aspenshed"

	"go.yaml.in/yaml/v3"
)

// Member is one entry of an inventory.
type Member struct {
	ID      string
	Address string
	Site    string
	Group   int
	Kind    string
	State   string
}

// Fields are the names of the fields, in the order in which they are written.
var Fields = []string{"id", "address", "site", "group", "kind", "state"}

// States maps the values of the field state, which are those of discovery.
var States = map[string]aspenshed.MemberState{"in_service": aspenshed.Up, "terminating": aspenshed.Draining, "terminated": aspenshed.Removed}

// FieldError is an error in a file.
type FieldError struct {
	Line    int
	Field   string // empty: the whole line
	Problem string
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Problem)
}

// fieldValues holds the text of a member's fields, and the member's line.
type fieldValues struct {
	line    int
	byField map[string]string
}

// Read reads a file in the format of its extension.
func Read(path string) ([]Member, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	ms, err := Parse(path, data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return ms, nil
}

// Parse parses data in the format of the name's extension.
func Parse(name string, data []byte) ([]Member, error) {
	switch filepath.Ext(name) {
	case ".csv":
		return parse(readCSV(data))
	case ".yaml", ".yml":
		return parse(readYAML(data))
	}
	return nil, errors.New("the name must end in .csv, .yaml or .yml")
}

func readCSV(data []byte) (out []fieldValues, err error) {
	r := csv.NewReader(bytes.NewReader(data))
	head, err := r.Read()
	if errors.Is(err, io.EOF) {
		return nil, &FieldError{1, "", "missing header"}
	}
	if err != nil {
		return nil, csvError(err)
	}
	seen := map[string]bool{}
	for _, f := range head {
		if seen[f] || !isField(f) {
			return nil, &FieldError{1, f, "unknown or a duplicate"}
		}
		seen[f] = true
	}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, csvError(err)
		}
		line, _ := r.FieldPos(0)
		v := fieldValues{line, map[string]string{}}
		for i, f := range head {
			v.byField[f] = row[i]
		}
		out = append(out, v)
	}
}

func csvError(err error) error {
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		return &FieldError{pe.Line, "", pe.Err.Error()}
	}
	return err
}

func readYAML(data []byte) (out []fieldValues, err error) {
	var doc yaml.Node
	dec := yaml.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&doc); err != nil {
		return nil, err // contains the line
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, &FieldError{doc.Line, "", "more than one document"}
	}
	top := doc.Content[0]
	if top.Kind != yaml.MappingNode || len(top.Content) != 2 || top.Content[0].Value != "members" ||
		top.Content[1].Kind != yaml.SequenceNode {
		return nil, &FieldError{top.Line, "members", "must be the only key, with a list as its value"}
	}
	for _, n := range top.Content[1].Content {
		if n.Kind != yaml.MappingNode {
			return nil, &FieldError{n.Line, "", "not a member"}
		}
		v := fieldValues{n.Line, map[string]string{}}
		for i := 0; i < len(n.Content); i += 2 {
			k, x := n.Content[i], n.Content[i+1]
			if _, exists := v.byField[k.Value]; exists || !isField(k.Value) {
				return nil, &FieldError{k.Line, k.Value, "unknown or a duplicate"}
			}
			if x.Kind != yaml.ScalarNode {
				return nil, &FieldError{x.Line, k.Value, "not a scalar value"}
			}
			v.byField[k.Value] = x.Value
		}
		out = append(out, v)
	}
	return out, nil
}

func isField(field string) bool {
	for _, f := range Fields {
		if f == field {
			return true
		}
	}
	return false
}

// parse validates all values. It accepts only values that Format writes unchanged.
func parse(rows []fieldValues, err error) ([]Member, error) {
	if err != nil {
		return nil, err
	}
	ids := map[string]int{}
	out := make([]Member, 0, len(rows))
	for _, v := range rows {
		m := Member{ID: v.byField["id"], Address: v.byField["address"], Site: v.byField["site"], Kind: v.byField["kind"], State: v.byField["state"]}
		for _, f := range Fields {
			if problem := check(f, v.byField[f]); problem != "" {
				return nil, &FieldError{v.line, f, problem}
			}
		}
		m.Group, _ = strconv.Atoi(v.byField["group"])
		if first, exists := ids[m.ID]; exists {
			return nil, &FieldError{v.line, "id", fmt.Sprintf("%q is already on line %d", m.ID, first)}
		}
		ids[m.ID] = v.line
		out = append(out, m)
	}
	return out, nil
}

func check(field, v string) string {
	switch {
	case v == "":
		return "missing"
	case !utf8.ValidString(v) || strings.ContainsFunc(v, unicode.IsControl) || strings.TrimSpace(v) != v:
		return fmt.Sprintf("%q contains control characters, or leading or trailing space", v)
	}
	switch field {
	case "address":
		host, port, err := net.SplitHostPort(v)
		if n, perr := strconv.ParseUint(port, 10, 16); err != nil || perr != nil || n == 0 || host == "" {
			return fmt.Sprintf("%q is not host:port", v)
		}
	case "group":
		if n, err := strconv.Atoi(v); err != nil || n < 0 || strconv.Itoa(n) != v {
			return fmt.Sprintf("%q is not a non-negative integer", v)
		}
	case "state":
		if States[v] == 0 {
			return fmt.Sprintf("%q is not one of in_service, terminating, terminated", v)
		}
	}
	return ""
}

func (m Member) field(name string) string {
	return map[string]string{"id": m.ID, "address": m.Address, "site": m.Site, "group": strconv.Itoa(m.Group),
		"kind": m.Kind, "state": m.State}[name]
}

// Format encodes members in the format of the name's extension.
func Format(name string, ms []Member) ([]byte, error) {
	var b bytes.Buffer
	switch filepath.Ext(name) {
	case ".csv":
		w := csv.NewWriter(&b)
		_ = w.Write(Fields) // writing to a buffer never fails
		for _, m := range ms {
			var row []string
			for _, f := range Fields {
				row = append(row, m.field(f))
			}
			_ = w.Write(row)
		}
		w.Flush()
		return b.Bytes(), w.Error()
	case ".yaml", ".yml":
		list := &yaml.Node{Kind: yaml.SequenceNode}
		for _, m := range ms {
			n := &yaml.Node{Kind: yaml.MappingNode}
			for _, f := range Fields {
				x := &yaml.Node{}
				x.SetString(m.field(f))
				if f == "group" {
					x.Tag = "!!int"
				}
				n.Content = append(n.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: f}, x)
			}
			list.Content = append(list.Content, n)
		}
		enc := yaml.NewEncoder(&b)
		enc.SetIndent(2)
		err := enc.Encode(&yaml.Node{Kind: yaml.MappingNode, Content: []*yaml.Node{{Kind: yaml.ScalarNode, Value: "members"}, list}})
		return b.Bytes(), err
	}
	return nil, errors.New("the name must end in .csv, .yaml or .yml")
}

// Write replaces a file atomically.
func Write(path string, ms []Member) error {
	data, err := Format(path, ms)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".inventory-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(data)
	if err = errors.Join(err, tmp.Chmod(0o644), tmp.Sync(), tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// MemberList converts members to the router's list. Zones number the sites by first appearance.
func MemberList(ms []Member) aspenshed.MemberList {
	l, sites := aspenshed.MemberList{Complete: true}, map[string]int{}
	for _, m := range ms {
		if _, seen := sites[m.Site]; !seen {
			sites[m.Site] = len(sites)
		}
		l.Members = append(l.Members, aspenshed.Member{ID: m.ID, Address: m.Address, Group: m.Group, Zone: sites[m.Site], Weight: 1, State: States[m.State]})
	}
	return l
}
