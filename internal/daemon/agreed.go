package daemon

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// What all instances of an installation should have alike (classes, tenants, defaults) is agreed on as well. It takes
// effect at an instance's start, from its own file; the store tells staff where files have drifted apart.

const agreeAgain = 2 * time.Second

// alike is that part of a configuration.
func alike(d *config.Deploy) (string, error) {
	type part struct {
		Classes     []config.Class `yaml:"classes"`
		Tenants     []string       `yaml:"tenants"`
		Attempts    int            `yaml:"attempts"`
		RetryAdvice bool           `yaml:"retry_advice"`
		More        any            `yaml:"more,omitempty"`
	}
	of := func(s config.Service, more any) *part {
		if s.Listen == "" {
			return nil
		}
		return &part{s.Classes, s.Tenants, s.Attempts, s.RetryAdvice, more}
	}
	b, err := yaml.Marshal(map[string]*part{"mysql": of(d.MySQL.Service, []any{d.MySQL.Database, d.MySQL.Probe, d.MySQL.Defaults}),
		"postgres": of(d.Postgres.Service, nil)})
	return string(b), err
}

// agree makes this instance's configuration the first version, or tells where it differs from the agreed one. renew:
// its file has been changed and read again: that is the next version.
func (d *Daemon) agree(deploy *config.Deploy, renew bool) {
	text, err := alike(deploy)
	for err == nil {
		var have *pb.ConfigVersion
		version := uint64(0)
		err = d.Store.ReadLatest(leaveLimit, func(c *catalog.Catalog) { have, version = c.Config(), c.Config().GetVersion() })
		switch {
		case err != nil:
		case have.GetText() == text:
			return
		case have != nil && !renew:
			d.log.WithFields(logrus.Fields{"version": version, "author": have.Author}).
				Warn("configuration differs from what the instances agreed on")
			return
		default:
			var r *pb.Result
			r, err = d.Store.Submit(&pb.Command{Body: &pb.Command_PutConfig{PutConfig: &pb.PutConfig{Base: version, Text: text, Author: d.Store.ID()}}}, leaveLimit)
			if err == nil && r.Refused == "" {
				d.log.WithField("version", r.Version).Info("configuration agreed on")
				return
			}
			if err == nil { // another was quicker
				err = fmt.Errorf("store: %s", r.Refused)
			}
		}
		select { // no majority yet, or another version: look again
		case <-d.ended:
			return
		case <-time.After(agreeAgain):
			err = nil
		}
	}
}

const leaveLimit = 5 * time.Second // for the store to answer, before it is asked again
