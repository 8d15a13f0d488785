package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["first-list"] = firstList }

// groups are five databases in two groups. db-2 is of group 1 until it is moved: then it holds the data of group 2.
type groups struct {
	dbs   []*database
	moved atomic.Bool
}

func newGroups() (*groups, error) {
	g := &groups{}
	for i := range 5 {
		d, err := newDatabase(fmt.Sprint("db-", i), i == 0 || i == 3, servePG)
		if err != nil {
			return nil, err
		}
		d.serve = func(statement) answer {
			return answer{after: time.Millisecond, value: fmt.Sprintf("data of group %d", g.of(i))}
		}
		g.dbs = append(g.dbs, d)
	}
	return g, nil
}

func (g *groups) of(i int) int {
	if i >= 3 || i == 2 && g.moved.Load() {
		return 2
	}
	return 1
}

// list is the inventory.
func (g *groups) list() string {
	text := "id,address,site,group,kind,state\n"
	for i, d := range g.dbs {
		text += fmt.Sprintf("%s,%s,site-1,%d,std-4core,in_service\n", d.name, d.address, g.of(i))
	}
	return text
}

// firstList: an installation of three voters starts for the first time, and one of them, which has no front, comes 25 s late. In
// between an operator moves a database to another group, by the inventory file and SIGHUP. With TROUBLE=0 no voter is late.
func firstList(r *run) error {
	g, err := newGroups()
	if err != nil {
		return err
	}
	list := g.list
	file, err := r.write("members.csv", list())
	if err != nil {
		return err
	}
	all, err := r.voters(file, 3, 2)
	if err != nil {
		return err
	}
	late := all[2]
	for _, x := range all {
		if x == late && r.trouble {
			continue
		}
		if err := r.serve(x); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	// Both instances serve both groups.
	for i := range 40 {
		for _, x := range all[:2] {
			value, code, err := r.read(x, 1+i%2)
			if err != nil || code != "" || value != fmt.Sprintf("data of group %d", 1+i%2) {
				return fmt.Errorf("before anything has happened: %q, %q, %v", value, code, err)
			}
		}
	}
	r.note("both instances serve both groups")
	g.moved.Store(true)
	text := list()
	if _, err := r.write("members.csv", text); err != nil {
		return err
	}
	r.note("db-2 belongs to group 2 now; SIGHUP to both instances, with an inventory of\n%s", text)
	for _, x := range all[:2] {
		x.proc.signal(syscall.SIGHUP)
	}
	told := time.Now()
	started := false
	wrong, served := map[string]int{}, 0
	for i := 0; time.Since(told) < 45*time.Second; i++ {
		if r.trouble && !started && time.Since(told) > 20*time.Second {
			started = true
			if err := r.serve(late); err != nil {
				return err
			}
		}
		group := 1 + i%2
		x := all[i/2%2]
		value, code, err := r.read(x, group)
		since := time.Since(told)
		if err != nil || code != "" {
			r.note("%.2f s after SIGHUP, group %d at %s: %q %v", since.Seconds(), group, x.id, code, err)
			continue
		}
		served++
		if value != fmt.Sprintf("data of group %d", group) && since > 2050*time.Millisecond {
			if wrong[x.id]++; wrong[x.id] <= 10 {
				r.note("%.2f s after SIGHUP a read of group %d at %s was answered with %q", since.Seconds(), group, x.id, value)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	out, _ := r.store(all[0], "members")
	r.note("%d reads served", served)
	if n := wrong["a"] + wrong["b"]; n > 0 {
		r.breach("%d reads of group 1 were answered with the data of group 2", n)
	}
	if !strings.Contains(out, "db-2") {
		return fmt.Errorf("the cluster holds no list")
	}
	return nil
}
