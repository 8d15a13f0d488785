package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["subscriber-hup"] = subscriberHup }

// subscriberHup: a gateway subscribes at two of three voters. The list that all hold moves a database to another group. Later the
// third voter is named in the gateway's file, and the gateway gets SIGHUP for it. With TROUBLE=0 it gets none.
func subscriberHup(r *run) error {
	g, err := newGroups()
	if err != nil {
		return err
	}
	file, err := r.write("members.csv", g.list())
	if err != nil {
		return err
	}
	all, err := r.voters(file, 3, 1)
	if err != nil {
		return err
	}
	for _, x := range all {
		if err := r.serve(x); err != nil {
			return err
		}
	}
	// The gateway's own file is the list of the day on which it was set up.
	own, err := r.write("g/members.csv", g.list())
	if err != nil {
		return err
	}
	section := func(servers ...string) string {
		return "store:\n  cluster: review\n  id: g\n  subscribe: [" + strings.Join(servers, ", ") + "]\n"
	}
	gateway, err := r.writeInstance("g", own, section(all[0].subscribers, all[1].subscribers))
	if err != nil {
		return err
	}
	if err := r.serve(gateway); err != nil {
		return err
	}
	if !until(20*time.Second, func() bool { return r.status(gateway)["mode"] == "subscribed" }) {
		return fmt.Errorf("the gateway has not subscribed")
	}
	if !until(10*time.Second, func() bool {
		out, err := r.store(gateway, "members")
		return err == nil && strings.Contains(out, "db-4")
	}) {
		return fmt.Errorf("the gateway holds no list")
	}
	served := 0
	// judge reads both groups for a while.
	judge := func(from time.Time, limit time.Duration) error {
		wrong := 0
		for i := 0; time.Since(from) < limit; i++ {
			group := 1 + i%2
			value, code, err := r.read(gateway, group)
			since := time.Since(from)
			if err != nil || code != "" {
				r.note("group %d: %q %v", group, code, err)
				continue
			}
			served++
			if value != fmt.Sprintf("data of group %d", group) && since > 2050*time.Millisecond {
				if wrong++; wrong <= 10 {
					r.note("%.2f s after that a read of group %d was answered with %q", since.Seconds(), group, value)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		if wrong > 0 {
			return fmt.Errorf("%d reads of one group were answered with the data of the other", wrong)
		}
		return nil
	}
	if err := judge(time.Now(), 3*time.Second); err != nil {
		return err
	}
	g.moved.Store(true)
	text := g.list()
	if _, err := r.write("members.csv", text); err != nil {
		return err
	}
	r.note("db-2 belongs to group 2 now; SIGHUP to voter a, with an inventory of\n%s", text)
	all[0].proc.signal(syscall.SIGHUP)
	if err := judge(time.Now(), 8*time.Second); err != nil {
		return err
	}
	r.note("the gateway goes by the list that all hold")
	_, _ = r.store(gateway, "members")
	if r.trouble {
		b := fmt.Sprintf(deployInstance, gateway.listen, own) + section(all[0].subscribers, all[1].subscribers, all[2].subscribers) + "admin:\n  socket: admin.sock\n"
		if _, err := r.write("g/aspenshed.yaml", b); err != nil {
			return err
		}
		r.note("the third voter is in the gateway's file; SIGHUP to the gateway")
		gateway.proc.signal(syscall.SIGHUP)
	}
	if err := judge(time.Now(), 20*time.Second); err != nil {
		r.breach("%v", err)
	}
	_, _ = r.store(gateway, "members")
	r.note("%d reads served", served)
	return nil
}
