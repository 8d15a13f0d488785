package catalog

import (
	"slices"

	pb "aspenshed/internal/controlplane/catalog/catalogpb"
	"aspenshed/internal/controlplane/revision"
)

func (c *Catalog) putConfig(p *pb.PutConfig) *pb.Result {
	have := uint64(0)
	if n := len(c.s.Configs); n > 0 {
		have = c.s.Configs[n-1].Version
	}
	switch {
	case p.Base != have:
		return refused("the configuration is at version %d, not %d", have, p.Base)
	case len(p.Text) > maxValue:
		return refused("the configuration has %d bytes, %d at most", len(p.Text), maxValue)
	}
	c.touch(revision.ConfigKey)
	if len(c.s.Configs) >= maxConfigs {
		c.s.Configs = slices.Delete(c.s.Configs, 0, 1)
	}
	c.s.Configs = append(c.s.Configs, &pb.ConfigVersion{Version: have + 1, Text: p.Text, Author: p.Author, At: c.s.Now})
	return &pb.Result{Version: have + 1}
}

func (c *Catalog) set(p *pb.Set) *pb.Result {
	x := c.pairs[p.Key]
	c.touch(revision.PairPrefix + p.Key)
	switch {
	case p.Key == "" || len(p.Key) > 256:
		return refused("a key has 1 to 256 bytes")
	case len(p.Value) > maxValue:
		return refused("the value has %d bytes, %d at most", len(p.Value), maxValue)
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
