package main

import (
	"fmt"
	"strings"
	"time"
)

// drainedInstallation starts three instances and three databases, and has the last database drained by an operator. It returns
// once that has been in force for 3 s.
func (r *run) drainedInstallation() (dbs []*database, all []*instance, file string, told time.Time, stop chan struct{}, err error) {
	fail := func(err error) ([]*database, []*instance, string, time.Time, chan struct{}, error) {
		return nil, nil, "", time.Time{}, nil, err
	}
	for i := range 3 {
		d, err := newDatabase(fmt.Sprint("db-", i), i == 0, servePG)
		if err != nil {
			return fail(err)
		}
		dbs = append(dbs, d)
	}
	if file, err = r.write("members.csv", inventory(dbs...)); err != nil {
		return fail(err)
	}
	if all, err = r.voters(file, 3, 3); err != nil {
		return fail(err)
	}
	for _, x := range all {
		if err := r.serve(x); err != nil {
			return fail(err)
		}
	}
	if !until(20*time.Second, func() bool {
		for _, x := range all {
			if m := r.status(x)["mode"]; m != "leading" && m != "following" {
				return false
			}
		}
		out, err := r.store(all[0], "members")
		return err == nil && strings.Contains(out, "db-2")
	}) {
		return fail(fmt.Errorf("no cluster"))
	}
	stop = make(chan struct{})
	for _, x := range all {
		go r.load(x, 20*time.Millisecond, stop)
	}
	time.Sleep(2 * time.Second)
	if !until(20*time.Second, func() bool { return len(dbs[2].after(r.began)) >= 10 }) {
		return fail(fmt.Errorf("the database got nothing before its drain"))
	}
	r.note("%s has got %d statements, it is drained now", dbs[2].name, len(dbs[2].after(r.began)))
	if _, err := r.store(all[0], "drain", dbs[2].name); err != nil {
		return fail(err)
	}
	told = time.Now()
	time.Sleep(3 * time.Second)
	return dbs, all, file, told, stop, nil
}

// judgeDrain counts the statements that came to a drained database later than the grace of 2 s allows, with the slack of 50 ms,
// after it was drained and after from, the latest moment from which an instance could have to learn of the drain anew.
func (r *run) judgeDrain(d *database, told, from time.Time) {
	if told.After(from) {
		from = told
	}
	late := d.after(from.Add(2050 * time.Millisecond))
	for i, s := range late {
		if i < 20 {
			r.note("%s got %s %.2f s after the drain, %.2f s after the last disruption", d.name, s.id, s.at.Sub(told).Seconds(), s.at.Sub(from).Seconds())
		}
	}
	if len(late) > 0 {
		r.breach("%d statements came to %s, which was drained and has not started again; the first %.2f s after the drain", len(late), d.name, late[0].at.Sub(told).Seconds())
	}
}
