package capacity

// referenceFigure is a figure of issue 29's section "What stands", which was measured independently.
type referenceFigure struct {
	description, unit string
	x                 float64 // value of the axis
	reference         float64
	series            string
	slope             bool // reference is a slope: the increase per unit of the axis
}

func referenceFigures() []referenceFigure {
	return []referenceFigure{
		{"log entries, 3 voters, idle", "1/s", 3, 1.5, "voter.log-entries-by-instances", false},
		{"log entries, 54 voters, idle", "1/s", 54, 25, "voter.log-entries-by-instances", false},
		{"processor, 3 voters, idle", "core", 3, 0.028, "voter.cpu-by-instances", false},
		{"processor, 54 voters, idle", "core", 54, 0.39, "voter.cpu-by-instances", false},
		{"write at a follower, 3 voters", "s", 3, 0.0041, "voter.write-latency-by-instances", false},
		{"write at a follower, 54 voters", "s", 54, 0.021, "voter.write-latency-by-instances", false},
		{"log bytes for a change of one member, each member of the list", "B", 0, 63, "voter.log-bytes-by-members", true},
		{"learned state told, each group", "B", 0, 36, "voter.learned-bytes-by-groups", true},
		{"Router.Step, 20 members, 100 in flight", "s", 20, 3e-6, "datapath.step-by-members-100", false},
		{"Router.Step, 21,000 members, 100 in flight", "s", 21000, 26e-6, "datapath.step-by-members-100", false},
		{"Router.Step, 21,000 members, 1,200 in flight", "s", 21000, 42e-6, "datapath.step-by-members-1200", false},
	}
}

// referenceTable compares our measurements with the reference figures.
func referenceTable(runs *Runs) *table {
	t := &table{header: []string{"figure", "issue 29", "ours", "ours over theirs", "from"}}
	for _, c := range referenceFigures() {
		s, ok := runs.SeriesNamed(c.series)
		if !ok {
			t.addRow(c.description, formatQuantity(c.reference, c.unit), "not measured yet", "", "")
			continue
		}
		ours := s.Fit.Slope
		if !c.slope {
			ours = projectTo(s, c.x).Value
		}
		t.addRow(c.description, formatQuantity(c.reference, c.unit), formatQuantity(ours, c.unit), formatNumber(ours/c.reference), "`"+s.Name+"`, "+s.Source())
	}
	return t
}
