package publication_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/publication"
)

// newPublication returns the publication of a list by an instance that has applied a catalog.
func newPublication(c *catalog.Catalog, list []*pb.Entry, initial bool) *publication.Publication {
	return publication.New(publication.List{Wire: wire, Entries: list, Initial: initial}, "a", c.WireDigest(wire))
}

// apply applies commands and returns the first refusal.
func apply(c *catalog.Catalog, commands ...*pb.Command) (refused string) {
	for _, x := range commands {
		x.Kind, x.At = catalog.CommandKind(x), 1
		if r := c.Apply(c.Index()+1, &pb.Batch{Commands: []*pb.Command{x}})[0]; r.Refused != "" {
			return r.Refused
		}
	}
	return ""
}

// store takes the steps of a publication until it ends, and returns why it was refused.
func store(c *catalog.Catalog, p *publication.Publication) error {
	for {
		step, err := p.Next(c, 1)
		if err != nil || len(step.Commands) == 0 {
			return err
		}
		if refused := apply(c, step.Commands...); refused != "" {
			p.Refused(step, refused)
		}
	}
}

// A list that could not be published is refused if others have agreed on another one since: that may be newer. Loaded once
// more it is stored.
func TestListThatReplacesAnUnknownOneIsRefused(t *testing.T) {
	c := catalog.New("test")
	if err := store(c, newPublication(c, entries(1), true)); err != nil {
		t.Fatal(err)
	}
	cutOff := newPublication(c, entries(2), false)
	if err := store(c, newPublication(c, entries(3), false)); err != nil {
		t.Fatal(err)
	}
	var conflict *publication.ConflictError
	if err := store(c, cutOff); !errors.As(err, &conflict) || listOf(c) != 3 {
		t.Errorf("%v, list %d", err, listOf(c))
	}
	if err := store(c, newPublication(c, entries(2), false)); err != nil || listOf(c) != 2 {
		t.Errorf("once more: %v, list %d", err, listOf(c))
	}
}

// Two lists that are loaded one after the other at all instances: the second is no conflict where others have published the first.
func TestListReplacesTheOneLoadedBefore(t *testing.T) {
	c := catalog.New("test")
	if err := store(c, newPublication(c, entries(1), true)); err != nil {
		t.Fatal(err)
	}
	first, second := newPublication(c, entries(2), false), newPublication(c, entries(1), false)
	second.Replace(first)
	if err := store(c, newPublication(c, entries(2), false)); err != nil { // by another instance
		t.Fatal(err)
	}
	if err := store(c, second); err != nil || listOf(c) != 1 {
		t.Errorf("%v, list %d", err, listOf(c))
	}
}

// The first list of a wire is the newest that was loaded. It is stored whole, and no member of it is in slow start.
func TestFirstListIsTheNewestLoaded(t *testing.T) {
	c := catalog.New("test")
	other, initial := newPublication(c, longList("old"), true), newPublication(c, longList("old"), true)
	reloaded := newPublication(c, longList("new"), false)
	reloaded.Replace(initial)
	step, err := reloaded.Next(c, 1)
	if err != nil || len(step.Commands) != 1 || apply(c, step.Commands...) != "" || len(c.WarmingMembers()) != 0 {
		t.Errorf("%d commands, %v, %d members in slow start", len(step.Commands), err, len(c.WarmingMembers()))
	}
	if err := store(c, other); err != nil || c.WireDigest(wire) != catalog.DigestOf(longList("new")) {
		t.Errorf("another instance's initial list: %v", err)
	}
}

// A newer list of this instance replaces the initial one of another instance, which has the same file.
func TestReloadReplacesAnInitialListStoredMeanwhile(t *testing.T) {
	c := catalog.New("test")
	other, initial := newPublication(c, entries(1), true), newPublication(c, entries(1), true)
	reloaded := newPublication(c, entries(2), false)
	reloaded.Replace(initial)
	if err := errors.Join(store(c, other), store(c, reloaded)); err != nil || listOf(c) != 2 {
		t.Errorf("%v, list %d", err, listOf(c))
	}
}

// A list of which a part was stored, with its answer lost, is continued, by itself or by the next list.
func TestPartlyStoredListIsContinued(t *testing.T) {
	for _, continued := range []string{"new", "newer"} {
		c := catalog.New("test")
		if err := store(c, newPublication(c, longList("old"), true)); err != nil {
			t.Fatal(err)
		}
		p := newPublication(c, longList("new"), false)
		step, err := p.Next(c, 1)
		if err != nil || len(step.Commands) < 3 {
			t.Fatalf("%d commands, %v", len(step.Commands), err)
		}
		for _, x := range step.Commands {
			if n := proto.Size(x); n > publication.MaxCommandBytes+64 {
				t.Errorf("a command has %d bytes", n)
			}
		}
		if refused := apply(c, step.Commands[0]); refused != "" {
			t.Fatal(refused)
		}
		last := p
		if continued != "new" {
			last = publication.New(publication.List{Wire: wire, Entries: longList(continued)}, "a", 0)
			last.Replace(p)
		}
		if err := store(c, last); err != nil || c.WireDigest(wire) != catalog.DigestOf(longList(continued)) {
			t.Errorf("%s: %v", continued, err)
		}
		// A part that comes late changes nothing.
		if refused := apply(c, step.Commands[1]); refused == "" {
			t.Errorf("%s: a late part was applied", continued)
		}
	}
}

// A command that the store refuses for the list's content ends the publication; one that it refuses as the inventory has changed
// does not.
func TestRefusalsEndThePublicationOnce(t *testing.T) {
	c := catalog.New("test")
	if err := store(c, newPublication(c, entries(1), true)); err != nil {
		t.Fatal(err)
	}
	invalid := append(entries(2), &pb.Entry{Id: "without an address", Wire: wire})
	var refusal *publication.RefusedError
	if err := store(c, newPublication(c, invalid, false)); !errors.As(err, &refusal) || listOf(c) != 1 {
		t.Errorf("an invalid list: %v, list %d", err, listOf(c))
	}
	p := newPublication(c, entries(2), false)
	step, err := p.Next(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	// Another wire's list changes the version in between.
	foreign := &pb.Entry{Id: "other", Address: "h:1", Wire: "postgres"}
	if refused := apply(c, &pb.Command{Body: &pb.Command_UpsertMembers{UpsertMembers: &pb.UpsertMembers{Members: []*pb.Entry{foreign}}}}); refused != "" {
		t.Fatal(refused)
	}
	refused := apply(c, step.Commands...)
	if refused == "" {
		t.Fatal("a command for an older version was applied")
	}
	p.Refused(step, refused)
	if err := store(c, p); err != nil || c.WireDigest(wire) != catalog.DigestOf(entries(2)) || c.Member("other") == nil {
		t.Errorf("%v", err)
	}
}

// longList returns a list whose difference from another one takes several commands.
func longList(address string) (out []*pb.Entry) {
	for i := range 1000 {
		out = append(out, &pb.Entry{Id: fmt.Sprint("m", i), Address: fmt.Sprintf("%s-%d:1%s", address, i, strings.Repeat("x", 1000)), Wire: wire, State: "in_service"})
	}
	return out
}
