package subscriber

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/controlpb"
	"aspenshed/internal/controlplane/revision"
	"aspenshed/internal/controlplane/stream"
)

// maxReportedRefusals is the number of refused changes of one update that are reported; further ones are counted in the
// reason of the last.
const maxReportedRefusals = 64

const messageChangeRefused = "control state change refused, keeping the previous value"

// apply applies an update to the catalog. Invalid changes are refused with a reason; the other changes are applied.
func (s *Subscriber) apply(u stream.Update) {
	var refused []*controlpb.RefusedChange
	s.mu.Lock()
	if u.Full {
		refused = s.replaceAll(u)
		s.changed.reset(u.Revision)
	} else {
		refused = s.applyChanges(u.Changes)
		s.changed.add(u.Revision, u.Changes)
	}
	s.catalog.SetIndex(u.Revision)
	s.mu.Unlock()
	s.reportRefused(u.Revision, refused)
	if rev, advanced := s.applied.catalogApplied(u.Revision); advanced {
		s.client.ReportApplied(rev, nil)
	}
	s.config.OnChange()
}

func (s *Subscriber) applyChanges(changes []revision.Change) (refused []*controlpb.RefusedChange) {
	for i := range changes {
		if err := s.applyChange(&changes[i]); err != nil {
			refused = append(refused, &controlpb.RefusedChange{Revision: changes[i].Revision, Key: changes[i].Key, Reason: err.Error()})
		}
	}
	return refused
}

func (s *Subscriber) applyChange(c *revision.Change) error {
	if c.Removed {
		return s.catalog.RemoveRecord(c.Key)
	}
	if err := s.checkRecord(c.Record); err != nil {
		return err
	}
	return s.catalog.SetRecord(c.Record)
}

// replaceAll replaces the catalog with the valid records of a snapshot. If the new configuration is invalid, the
// current one is kept.
func (s *Subscriber) replaceAll(u stream.Update) (refused []*controlpb.RefusedChange) {
	config := s.catalog.Config()
	scratch := catalog.New(s.config.Cluster)
	var valid []revision.Record
	for r := range u.State.Records(revision.Scope{}) {
		err := s.checkRecord(r)
		if err == nil {
			err = scratch.SetRecord(r)
		}
		if err == nil {
			valid = append(valid, r)
			continue
		}
		refused = append(refused, &controlpb.RefusedChange{Revision: u.Revision, Key: r.Key, Reason: err.Error()})
		if r.Key == revision.ConfigKey && config != nil {
			valid = append(valid, configRecord(config))
		}
	}
	if err := s.catalog.ResetRecords(u.Revision, valid); err != nil {
		refused = append(refused, &controlpb.RefusedChange{Revision: u.Revision, Reason: err.Error()})
	}
	return refused
}

// configRecord returns the record that a configuration was decoded from.
func configRecord(v *pb.ConfigVersion) revision.Record {
	b, err := proto.Marshal(v)
	if err != nil { // not possible: it was decoded from a record
		return revision.Record{Key: revision.ConfigKey}
	}
	return revision.Record{Key: revision.ConfigKey, Value: b}
}

// checkRecord returns an error if this gateway can't apply a record for other reasons than those that the catalog
// checks.
func (s *Subscriber) checkRecord(r revision.Record) error {
	if r.Key != revision.ConfigKey || s.config.CheckConfig == nil {
		return nil
	}
	version := &pb.ConfigVersion{}
	if err := proto.Unmarshal(r.Value, version); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return s.config.CheckConfig(version)
}

// reportRefused logs the first refusal of an update and reports all of them to the server.
func (s *Subscriber) reportRefused(rev uint64, refused []*controlpb.RefusedChange) {
	if len(refused) == 0 {
		return
	}
	if s.config.Log != nil {
		s.config.Log.WithField("revision", rev).WithField("key", refused[0].Key).WithField("reason", refused[0].Reason).
			WithField("refused", len(refused)).Warn(messageChangeRefused)
	}
	if excess := len(refused) - maxReportedRefusals; excess > 0 {
		refused = refused[:maxReportedRefusals]
		refused[maxReportedRefusals-1].Reason += fmt.Sprintf(" (and %d more)", excess)
	}
	s.client.ReportApplied(0, refused)
}
