package operator

import (
	"net/netip"
	"strconv"
)

// Roles are the fleet's singleton roles, each of which one instance at a time holds.
type Roles struct {
	Listen       string // a voter's address; "": this broker is none
	Directory    string // of a voter's state
	Voters       []Voter
	LeaseMs      float64
	Statements   *StatementRole
	ZoneRecovery bool
	Exercise     *ExerciseRole
}

// Voter is one of those who agree on lease holders, and where it is reached from here.
type Voter struct{ Name, Address string }

// StatementRole is the role of closing the fleet's periods.
type StatementRole struct {
	ExportPatterns    []string // of the directories of instances' exports
	ExpectedInstances []string
	WaitMs            float64 // for instances that have not closed a period
	Directory         string  // where statements go: this, or URL
	URL               string
	IntervalMs        float64
}

// ExerciseRole is roles that try leases out.
type ExerciseRole struct {
	URL        string
	Count      int
	IntervalMs float64
	SaveEvery  int // steps
}

const (
	defaultLeaseMs             = 3000
	defaultStatementWaitMs     = 3600e3
	defaultStatementIntervalMs = 2000
	defaultExerciseCount       = 10
	defaultExerciseIntervalMs  = 1000
	defaultExerciseSaveEvery   = 10
)

func (f *ownerFile) settings(watchSites bool, found *Findings) *Roles {
	r := &Roles{
		Listen:       f.Listen,
		Directory:    f.Folder,
		Voters:       f.voters(found),
		LeaseMs:      valueOr(f.Lease, defaultLeaseMs),
		ZoneRecovery: f.Duties.Return != nil,
	}
	if (f.Listen == "") != (f.Folder == "") {
		found.add("/owner", "a voter needs both listen and folder")
	}
	if f.Listen != "" {
		checkAddress(found, "/owner/listen", f.Listen)
	}
	if r.ZoneRecovery && !watchSites {
		found.add("/owner/duties/return", "there is nothing to pace without sites")
	}
	if c := f.Duties.Close; c != nil {
		r.Statements = &StatementRole{
			ExportPatterns:    c.Collect,
			ExpectedInstances: c.Expect,
			WaitMs:            valueOr(c.Wait, defaultStatementWaitMs),
			Directory:         c.Folder,
			URL:               c.URL,
			IntervalMs:        valueOr(c.Every, defaultStatementIntervalMs),
		}
	}
	if d := f.Duties.Drill; d != nil {
		r.Exercise = &ExerciseRole{
			URL:        d.URL,
			Count:      valueOr(d.Count, defaultExerciseCount),
			IntervalMs: valueOr(d.Every, defaultExerciseIntervalMs),
			SaveEvery:  valueOr(d.Marks, defaultExerciseSaveEvery),
		}
	}
	return r
}

func (f *ownerFile) voters(found *Findings) (voters []Voter) {
	seen := map[string]bool{}
	for i, v := range f.Voters {
		path := "/owner/voters/" + strconv.Itoa(i)
		checkAddress(found, path+"/address", v.Address)
		if seen[v.Name] {
			found.add(path+"/name", "there are two")
		}
		seen[v.Name] = true
		voters = append(voters, Voter(v))
	}
	if n := len(f.Voters); n%2 == 0 {
		found.add("/owner/voters", "%d of them: an even number bears no more failures than one fewer", n)
	}
	return voters
}

func checkAddress(found *Findings, path, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		found.add(path, "no address: %q", text)
	}
}
