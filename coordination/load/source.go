package load

import (
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
)

// maxRetired is the number of earlier processes of a sender whose late messages are
// recognized. A sender that restarts more often within the delay of a message doesn't
// exist in practice; the part of an unrecognized one expires.
const maxRetired = 8

// source is a sender of loads, an entry instance or another control instance, with its
// part in the sums.
type source struct {
	zone              catkinrail.Zone
	process, sequence uint64
	// retired holds the earlier processes, oldest first.
	retired []uint64
	// at is the time of the last message that was accepted.
	at int64
	// live is set while the source has a part in the sums; since is the time from which.
	live  bool
	since int64
	rows  []contribution
	// zones, instances and wants are only set for control instances.
	zones     []message.ZoneLoad
	instances map[catkinrail.Zone]int
	wants     []catkinrail.Zone
}

// contribution is the part of a source in a row of the table.
type contribution struct {
	row  *row
	load message.ServerLoad
}

// accept reports whether a message is newer than all that were accepted before, and if so
// records its version.
func (s *source) accept(process, sequence uint64, now int64) bool {
	if slices.Contains(s.retired, process) {
		return false
	}
	if s.process == process && sequence <= s.sequence {
		return false
	}
	if s.process != process && s.process != 0 {
		if len(s.retired) == maxRetired {
			s.retired = slices.Delete(s.retired, 0, 1)
		}
		s.retired = append(s.retired, s.process)
	}
	s.process, s.sequence, s.at = process, sequence, now
	if !s.live {
		s.live, s.since = true, now
	}
	return true
}
