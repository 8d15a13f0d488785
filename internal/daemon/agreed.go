package daemon

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"aspenshed/internal/config"
	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// What all instances of an installation should have alike (classes, tenants, defaults) is agreed on as well. It takes
// effect at an instance's start, from its own file; the store tells staff where files have drifted apart.

const (
	agreeRetryInterval = 2 * time.Second // between two attempts to agree on the configuration
	agreeTimeout       = 5 * time.Second // for the store to answer, before it is asked again
)

// agreedPart is what all instances should have alike of one front.
type agreedPart struct {
	Classes     []config.Class `yaml:"classes"`
	Tenants     []string       `yaml:"tenants"`
	Attempts    int            `yaml:"attempts"`
	RetryAdvice bool           `yaml:"retry_advice"`
	More        any            `yaml:"more,omitempty"`
}

// sharedConfig is that part of a configuration.
func sharedConfig(d *config.Deploy) (string, error) {
	of := func(s config.Front, more any) *agreedPart {
		if s.Listen == "" {
			return nil
		}
		return &agreedPart{s.Classes, s.Tenants, s.Attempts, s.RetryAdvice, more}
	}
	b, err := yaml.Marshal(map[string]*agreedPart{"mysql": of(d.MySQL.Front, []any{d.MySQL.Database, d.MySQL.Probe, d.MySQL.Defaults}),
		"postgres": of(d.Postgres.Front, nil)})
	return string(b), err
}

// refusedError is a command that the store did not carry out, with the reason that it gives.
type refusedError struct{ reason string }

func (e refusedError) Error() string { return "store: " + e.reason }

// agreeOnConfig makes this instance's configuration the first version, or logs where it differs from the agreed one. renew: its
// file has been changed and read again, and is to be the next version. It retries until the store has answered.
func (d *Daemon) agreeOnConfig(deploy *config.Deploy, renew bool) {
	text, err := sharedConfig(deploy)
	if err != nil {
		d.log.WithError(err).Error("configuration cannot be compared with that of other instances")
		return
	}
	for failures := 0; ; failures++ {
		if err = d.tryAgree(text, renew); err == nil {
			return
		}
		if failures == 0 { // it goes on by its own file meanwhile: one line is enough
			d.log.WithError(err).Warn("configuration not agreed on yet")
		}
		select {
		case <-d.stopped:
			return
		case <-time.After(agreeRetryInterval):
		}
	}
}

// tryAgree compares text with the newest version that is agreed on and proposes it where it is due. An error says that
// nothing is settled: there is no majority, or another instance was quicker.
func (d *Daemon) tryAgree(text string, renew bool) error {
	if d.Subscriber != nil {
		return d.compareWithHeld(text)
	}
	var agreed *pb.ConfigVersion
	err := d.Store.ReadLatest(agreeTimeout, func(c *catalog.Catalog) { agreed = c.Config() })
	if err != nil {
		return err
	}
	if agreed.GetText() == text {
		return nil
	}
	if agreed != nil && !renew {
		d.logDiffers(agreed)
		return nil
	}
	put := &pb.PutConfig{Base: agreed.GetVersion(), Text: text, Author: d.Store.ID()}
	result, err := d.Store.Submit(&pb.Command{Body: &pb.Command_PutConfig{PutConfig: put}}, agreeTimeout)
	if err != nil {
		return err
	}
	if result.Refused != "" {
		return refusedError{result.Refused}
	}
	d.log.WithField("version", result.Version).Info("configuration agreed on")
	return nil
}

// errNothingHeld says that a subscriber has not heard of anything yet.
var errNothingHeld = errors.New("no server of the control stream has been reached yet")

// compareWithHeld logs where a subscriber's configuration differs from the agreed one. The voters alone propose versions.
func (d *Daemon) compareWithHeld(text string) (err error) {
	d.Subscriber.Read(func(c *catalog.Catalog) {
		switch agreed := c.Config(); {
		case c.Index() == 0:
			err = errNothingHeld
		case agreed != nil && agreed.Text != text:
			d.logDiffers(agreed)
		}
	})
	return err
}

func (d *Daemon) logDiffers(agreed *pb.ConfigVersion) {
	d.log.WithFields(logrus.Fields{"version": agreed.Version, "author": agreed.Author}).
		Warn("configuration differs from what the instances agreed on")
}
