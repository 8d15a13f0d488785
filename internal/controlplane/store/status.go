package store

import (
	"fmt"

	"github.com/hashicorp/raft"
	"google.golang.org/protobuf/proto"

	"aspenshed/internal/controlplane/catalog"
	pb "aspenshed/internal/controlplane/catalog/catalogpb"
)

// Status is the status of an instance.
type Status struct {
	Cluster         string           `json:"cluster"`
	ID              string           `json:"id"`
	Mode            string           `json:"mode"`
	Leader          string           `json:"leader"`
	Term            uint64           `json:"term"`
	Applied         uint64           `json:"applied"`
	Commit          uint64           `json:"commit"`
	Inventory       uint64           `json:"inventory"`
	Config          uint64           `json:"configuration"`
	Queued          int              `json:"waiting"`
	Digest          string           `json:"digest"`
	Counts          map[string]int   `json:"counts"`
	Servers         []StatusInstance `json:"servers"`
	UnknownCommands int              `json:"later"`
}

// StatusInstance is one instance of the cluster configuration.
type StatusInstance struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Service       string `json:"service"`
	Voter         bool   `json:"voter"`
	Mode          string `json:"mode"`
	Release       string `json:"release"`
	LastHeartbeat int64  `json:"beat_unix_ms"`
}

// Status returns the status of this instance.
func (s *Store) Status() Status {
	out := Status{Cluster: s.cfg.Cluster, ID: s.cfg.ID, Mode: s.Mode().String(), Queued: s.queue.Queued()}
	known := map[string]*pb.Instance{}
	s.Read(func(c *catalog.Catalog) {
		d, _ := c.Digest()
		later, _ := c.UnknownCommands()
		out.Config = c.Config().GetVersion()
		out.Inventory, out.Digest, out.Counts, out.UnknownCommands = c.InventoryVersion(), fmt.Sprintf("%016x", d), c.Counts(), len(later)
		for _, x := range c.Instances() {
			known[x.Id] = proto.Clone(x).(*pb.Instance) // the next heartbeat modifies the record
		}
	})
	r := s.raft.Load()
	if r == nil {
		return out
	}
	_, id := r.LeaderWithID()
	out.Leader, out.Term, out.Applied, out.Commit = string(id), r.CurrentTerm(), r.AppliedIndex(), r.CommitIndex()
	if f := r.GetConfiguration(); f.Error() == nil {
		for _, v := range f.Configuration().Servers {
			x := known[string(v.ID)]
			out.Servers = append(out.Servers, StatusInstance{ID: string(v.ID), Address: string(v.Address), Service: s.serviceAddress(string(v.ID)),
				Voter: v.Suffrage == raft.Voter, Mode: x.GetMode(), Release: x.GetRelease(), LastHeartbeat: x.GetBeat() / 1e6})
		}
	}
	return out
}
