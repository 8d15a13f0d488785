package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Fault is one error in a configuration file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", f.File, f.Line, f.Field, f.Problem)
}

// Faults returns the faults that an error of ReadDeploy joins; nil: it holds none.
func Faults(err error) (out []Fault) {
	var many interface{ Unwrap() []error }
	if !errors.As(err, &many) {
		return nil
	}
	for _, e := range many.Unwrap() {
		var f Fault
		if errors.As(e, &f) {
			out = append(out, f)
		}
	}
	return out
}

// checker collects the faults of one file and determines their lines.
type checker struct {
	file   string
	data   []byte
	root   yaml.Node
	faults []Fault
}

func newChecker(file string, data []byte) *checker {
	c := &checker{file: file, data: data}
	_ = yaml.Unmarshal(data, &c.root) // decode reports the error
	return c
}

var yamlErrorLine = regexp.MustCompile(`^line (\d+): (.*)$`)

// decode decodes the file and records a fault for each field that cannot be decoded.
func (c *checker) decode(into any) {
	err := decodeStrict(c.data, into)
	var te *yaml.TypeError
	if errors.As(err, &te) {
		for _, e := range te.Errors {
			f := Fault{File: c.file, Problem: e}
			if m := yamlErrorLine.FindStringSubmatch(e); m != nil {
				f.Line, _ = strconv.Atoi(m[1])
				f.Problem = m[2]
			}
			c.faults = append(c.faults, f)
		}
	} else if err != nil {
		f := Fault{File: c.file, Line: 1, Problem: strings.TrimPrefix(err.Error(), "yaml: ")}
		if m := yamlErrorLine.FindStringSubmatch(f.Problem); m != nil {
			f.Line, _ = strconv.Atoi(m[1])
			f.Problem = m[2]
		}
		c.faults = append(c.faults, f)
	}
}

// addFault records a fault of a field, unless the field's line could not be decoded, which is already recorded.
func (c *checker) addFault(field, format string, a ...any) {
	f := Fault{c.file, c.line(field), field, fmt.Sprintf(format, a...)}
	if !slices.ContainsFunc(c.faults, func(x Fault) bool { return x.Field == "" && x.Line == f.Line }) {
		c.faults = append(c.faults, f)
	}
}

func (c *checker) require(field string, ok bool) {
	if !ok {
		c.addFault(field, "missing or out of range")
	}
}

// line returns the line of a field, or that of the innermost enclosing field that exists.
func (c *checker) line(field string) int {
	line := 1
	n := &c.root
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, part := range strings.Split(strings.ReplaceAll(field, "[", ".["), ".") {
		var next *yaml.Node
		if i, err := strconv.Atoi(strings.Trim(part, "[]")); err == nil && strings.HasPrefix(part, "[") && n.Kind == yaml.SequenceNode {
			if i < len(n.Content) {
				next, line = n.Content[i], n.Content[i].Line
			}
		} else if n.Kind == yaml.MappingNode {
			for k := 0; k+1 < len(n.Content); k += 2 {
				if n.Content[k].Value == part {
					next, line = n.Content[k+1], n.Content[k].Line
				}
			}
		}
		if next == nil {
			return line
		}
		n = next
	}
	return line
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	errs := make([]error, len(c.faults))
	for i, f := range c.faults {
		errs[i] = f
	}
	return errors.Join(errs...)
}

// decodeStrict decodes YAML and rejects unknown keys.
func decodeStrict(data []byte, into any) error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(into); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}
