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

// The settings that all instances of an installation should share (classes, tenants, defaults) are agreed on through
// the store. An instance takes them from its own file at its start; it logs where its file differs from the agreed
// version.

const (
	agreeRetryInterval = 2 * time.Second // between two attempts to agree on the configuration
	agreeTimeout       = 5 * time.Second // of one attempt
)

// agreedSettings holds the settings of one front end that all instances should share.
type agreedSettings struct {
	Classes     []config.Class `yaml:"classes"`
	Tenants     []string       `yaml:"tenants"`
	Attempts    int            `yaml:"attempts"`
	RetryAdvice bool           `yaml:"retry_advice"`
	More        any            `yaml:"more,omitempty"`
}

// sharedConfig returns that part of a configuration as YAML.
func sharedConfig(d *config.Deploy) (string, error) {
	partOf := func(s config.Front, more any) *agreedSettings {
		if s.Listen == "" {
			return nil
		}
		return &agreedSettings{s.Classes, s.Tenants, s.Attempts, s.RetryAdvice, more}
	}
	b, err := yaml.Marshal(map[string]*agreedSettings{"mysql": partOf(d.MySQL.Front, []any{d.MySQL.Database, d.MySQL.Probe, d.MySQL.Defaults}),
		"postgres": partOf(d.Postgres.Front, nil)})
	return string(b), err
}

// refusedError reports that the store refused a command.
type refusedError struct{ reason string }

func (e refusedError) Error() string { return "store: " + e.reason }

// agreeOnConfig proposes this instance's configuration as the first version, or logs that it differs from the agreed
// one. renew: the file was changed and reloaded, and is proposed as the next version. It retries until an attempt
// succeeds.
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
		if failures == 0 { // logged once only: the instance works with its own file meanwhile
			d.log.WithError(err).Warn("configuration not agreed on yet")
		}
		select {
		case <-d.stopped:
			return
		case <-time.After(agreeRetryInterval):
		}
	}
}

// tryAgree compares text with the newest agreed version and proposes it if necessary. It fails if there is no majority
// or another instance proposed a version first.
func (d *Daemon) tryAgree(text string, renew bool) error {
	if d.Subscriber != nil {
		return d.compareWithAgreed(text)
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

// errNothingReceived reports that a subscriber has received nothing yet.
var errNothingReceived = errors.New("no server of the control stream has been reached yet")

// compareWithAgreed logs that a subscriber's configuration differs from the agreed one. Only voters propose versions.
func (d *Daemon) compareWithAgreed(text string) (err error) {
	d.Subscriber.Read(func(c *catalog.Catalog) {
		switch agreed := c.Config(); {
		case c.Index() == 0:
			err = errNothingReceived
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
