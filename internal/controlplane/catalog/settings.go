package catalog

import (
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

func (c *Catalog) putConfig(p *pb.PutConfig) *pb.Result {
	version := uint64(0)
	if n := len(c.state.Configs); n > 0 {
		version = c.state.Configs[n-1].Version
	}
	switch {
	case p.Base != version:
		return refused("the configuration is at version %d, not %d", version, p.Base)
	case len(p.Text) > maxValueBytes:
		return refused("the configuration has %d bytes, %d at most", len(p.Text), maxValueBytes)
	}
	c.touch(revision.ConfigKey)
	if len(c.state.Configs) >= maxConfigs {
		c.state.Configs = slices.Delete(c.state.Configs, 0, 1)
	}
	c.state.Configs = append(c.state.Configs, &pb.ConfigVersion{Version: version + 1, Text: p.Text, Author: p.Author, At: c.state.Now})
	return &pb.Result{Version: version + 1}
}

func (c *Catalog) setPair(p *pb.Set) *pb.Result {
	x := c.pairs[p.Key]
	c.touch(revision.PairPrefix + p.Key)
	switch {
	case p.Key == "" || len(p.Key) > 256:
		return refused("a key has 1 to 256 bytes")
	case len(p.Value) > maxValueBytes:
		return refused("the value has %d bytes, %d at most", len(p.Value), maxValueBytes)
	case p.Checked && x.GetVersion() != p.Base:
		return refused("%s is at version %d, not %d", p.Key, x.GetVersion(), p.Base)
	case x == nil && len(c.pairs) >= maxPairs:
		return refused("%d keys are held already", maxPairs)
	case x == nil:
		x = &pb.Pair{Key: p.Key}
		c.pairs[p.Key] = x
	}
	x.Value, x.Version = p.Value, x.Version+1
	return &pb.Result{Version: x.Version}
}
