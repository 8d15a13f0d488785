package main

import (
	"syscall"
	"time"
)

func init() { cases["drain-relist"] = drainRelist }

// drainRelist: an operator drains a database. Then the inventory is loaded twice by SIGHUP: one that lacks it, and the older one
// that names it. With TROUBLE=0 the older one is loaded both times.
func drainRelist(r *run) error {
	dbs, all, _, told, stop, err := r.drainedInstallation()
	if err != nil {
		return err
	}
	defer close(stop)
	lists := []string{inventory(dbs[:2]...), inventory(dbs...)}
	if !r.trouble {
		lists[0] = lists[1]
	}
	for _, text := range lists {
		if _, err := r.write("members.csv", text); err != nil {
			return err
		}
		r.note("SIGHUP to all instances, with an inventory of\n%s", text)
		for _, x := range all {
			x.proc.signal(syscall.SIGHUP)
		}
		time.Sleep(4 * time.Second)
		_, _ = r.store(all[0], "members")
	}
	time.Sleep(6 * time.Second)
	r.judgeDrain(dbs[2], told, told)
	return nil
}
