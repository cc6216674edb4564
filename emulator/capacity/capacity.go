// Package capacity computes the resources that each role needs at the planned size
// from measured slopes: costs per instance, backend server, change or record.
package capacity

import (
	"fmt"
	"io"

	"catkinrail.example/catkinrail"
)

// Settings hold the planned size and the measured slopes.
type Settings struct {
	Size   Size   `yaml:"size"`
	Slopes Slopes `yaml:"slopes"`
	Limits Limits `yaml:"limits"`
}

// Size is the planned size.
type Size struct {
	Entries       float64 `yaml:"entries"`
	Servers       float64 `yaml:"servers"`
	Services      float64 `yaml:"services"`
	Flows         float64 `yaml:"flows"`
	NewFlows      float64 `yaml:"new-flows-second"`
	Zones         float64 `yaml:"zones"`
	ChangesDay    float64 `yaml:"changes-day"`
	FailuresDay   float64 `yaml:"failures-day"`
	RestartsDay   float64 `yaml:"restarts-day"`
	SlotsServer   float64 `yaml:"slots-server"`
	BucketsServer float64 `yaml:"buckets-server"`
	// MovingShare is the share of buckets that move at a time, 0 to 1.
	MovingShare float64 `yaml:"moving-share"`
	// Copies is the number of instances that hold a record.
	Copies float64 `yaml:"copies"`
}

// Slopes are measured costs. The slopes file names the command that measures each.
type Slopes struct {
	EntryBytes         float64 `yaml:"entry-bytes-second"`
	AnnounceBytes      float64 `yaml:"announce-bytes-second"`
	ChangeBytes        float64 `yaml:"change-bytes"`
	EntryCore          float64 `yaml:"entry-core-percent"`
	AnnounceCore       float64 `yaml:"announce-core-percent"`
	EntryMB            float64 `yaml:"entry-megabytes"`
	ServerKB           float64 `yaml:"server-kilobytes"`
	RecordBytes        float64 `yaml:"record-bytes"`
	BucketCompileNanos float64 `yaml:"bucket-compile-ns"`
	LeaderCore         float64 `yaml:"leader-core-percent"`
	LeaderCoreEntry    float64 `yaml:"leader-core-percent-entry"`
	LeaderMB           float64 `yaml:"leader-megabytes"`
	LeaderMBEntry      float64 `yaml:"leader-megabytes-entry"`
	InForce            float64 `yaml:"in-force-seconds"`
	InForceEntry       float64 `yaml:"in-force-seconds-entry"`
	ViewBytesMember    float64 `yaml:"view-bytes-member"`
	RecordCopyBytes    float64 `yaml:"record-copy-bytes"`
}

// Limits are the users' limits for control work on an entry instance, and for the
// time until a change is in force everywhere.
type Limits struct {
	CorePercent float64 `yaml:"core-percent"`
	Megabytes   float64 `yaml:"megabytes"`
	BytesSecond float64 `yaml:"bytes-second"`
	InForce     float64 `yaml:"in-force-seconds"`
}

// Validate implements settings.Section.
func (s *Settings) Validate() []catkinrail.FieldError {
	if s.Size.Entries <= 0 {
		return []catkinrail.FieldError{{Field: "size.entries", Reason: "must be greater than 0"}}
	}
	return nil
}

const (
	daySeconds = 86400
	bytesMB    = 1 << 20
	bytesKB    = 1 << 10
	// viewSteps is the number of views that a change of members takes.
	viewSteps = 3
	// moveSteps is the number of versions that a move takes.
	moveSteps = 3
)

// Row is a row of the capacity table.
type Row struct {
	Role, Quantity string
	Value          float64
	Unit           string
	// Limit is 0 if there is none.
	Limit     float64
	Mechanism string
}

// Rows computes the rows of the table.
func (s *Settings) Rows() []Row {
	size, slopes := &s.Size, &s.Slopes
	serversPerEntry := size.Servers / size.Entries
	viewChanges := 2*size.RestartsDay + size.FailuresDay
	viewBytes := viewChanges * viewSteps * slopes.ViewBytesMember * size.Entries / daySeconds
	changeBytes := size.ChangesDay * slopes.ChangeBytes / daySeconds
	copyBytes := viewChanges / daySeconds * size.Flows * size.MovingShare * size.Copies / size.Entries / size.Entries * slopes.RecordCopyBytes
	versions := (size.ChangesDay*moveSteps + viewChanges*viewSteps) / daySeconds
	buckets := size.Servers * size.BucketsServer
	compile := versions * buckets * slopes.BucketCompileNanos / 1e9 * 100
	records := size.Flows * size.MovingShare * size.Copies / size.Entries
	entryMB := slopes.EntryMB + size.Servers*slopes.ServerKB/bytesKB
	limits := &s.Limits
	return []Row{
		{"entry", "heartbeats and announcements", slopes.EntryBytes + serversPerEntry*slopes.AnnounceBytes, "B/s", 0, "heartbeat that waits for changes"},
		{"entry", "views", viewBytes, "B/s", 0, "one view for all restarts of a moment"},
		{"entry", "configuration changes", changeBytes, "B/s", 0, "moves travel, tables don't"},
		{"entry", "copies of records", copyBytes, "B/s", 0, "copies of moving buckets only"},
		{"entry", "control bytes, all", slopes.EntryBytes + serversPerEntry*slopes.AnnounceBytes + viewBytes + changeBytes + copyBytes, "B/s", limits.BytesSecond, ""},
		{"entry", "processor, heartbeats", slopes.EntryCore + serversPerEntry*slopes.AnnounceCore, "% core", 0, ""},
		{"entry", "processor, new versions", compile, "% core", 0, "the whole table is compiled for each version"},
		{"entry", "processor, all", slopes.EntryCore + serversPerEntry*slopes.AnnounceCore + compile, "% core", limits.CorePercent, ""},
		{"entry", "memory, configuration", entryMB, "MB", limits.Megabytes, "two states and two tables at a time"},
		{"entry with records", "records", records, "records", 0, "records of moving buckets, three copies"},
		{"entry with records", "memory, records", records * slopes.RecordBytes / bytesMB, "MB", 0, ""},
		{"entry with records, all tracked", "memory, records", size.Flows * size.Copies / size.Entries * slopes.RecordBytes / bytesMB, "MB", 0, "every service tracked"},
		{"entry with records", "new flows in moving buckets", size.NewFlows * size.MovingShare * size.Copies / size.Entries, "1/s", 0, "the record travels on the packet"},
		{"control leader", "processor", slopes.LeaderCore + size.Entries*slopes.LeaderCoreEntry, "% core", 0, "all heartbeats meet at the leader"},
		{"control leader", "heartbeats", size.Entries * 4, "1/s", 0, "one in 250 ms from each entry"},
		{"control leader", "memory", slopes.LeaderMB + size.Entries*slopes.LeaderMBEntry + size.Servers*slopes.ServerKB/bytesKB, "MB", 0, ""},
		{"control leader", "log entries", versions, "1/s", 0, "one write and sync for each"},
		{"control follower", "log bytes", size.ChangesDay*slopes.ChangeBytes/daySeconds + viewBytes, "B/s", 0, "log to every voter"},
		{"all", "a change in force everywhere", slopes.InForce + size.Entries*slopes.InForceEntry, "s", limits.InForce, "heartbeats that wait"},
		{"all", "a drain open everywhere", 2*(slopes.InForce+size.Entries*slopes.InForceEntry) + 1.5, "s", limits.InForce, "prepare, 1.5 s, open"},
	}
}

// Write writes the table as Markdown.
func (s *Settings) Write(w io.Writer) {
	fmt.Fprintln(w, "| role | quantity | value | limit | mechanism |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, r := range s.Rows() {
		limit := ""
		if r.Limit > 0 {
			limit = fmt.Sprintf("%g %s", r.Limit, r.Unit)
			if r.Value > r.Limit {
				limit += " **exceeded**"
			}
		}
		fmt.Fprintf(w, "| %s | %s | %.3g %s | %s | %s |\n", r.Role, r.Quantity, r.Value, r.Unit, limit, r.Mechanism)
	}
}
