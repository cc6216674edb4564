package exchange

import (
	"math/rand/v2"
	"time"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/cluster"
)

// Cost is the processor time of one exchange, without the calls.
type Cost struct {
	// Entry is that of encoding a report, and of decoding and applying the reply; Control
	// that of the control instance; Share that of a message to another control instance.
	Entry, Control, Share time.Duration
	// ReportBytes, ReplyBytes and ShareBytes are the lengths of the messages.
	ReportBytes, ReplyBytes, ShareBytes int
}

// costRounds is the number of reports of each entry instance that are measured.
const costRounds = 20

// MeasureCost measures the exchange of the entry instances of one zone.
func MeasureCost(size Size) (*Cost, error) {
	s := newStar(Deltas, size, 0, rand.New(rand.NewPCG(1, 1)))
	c := &Cost{}
	n, now := 0, int64(0)
	for round := range costRounds + 1 {
		now += int64(reportInterval)
		for _, i := range s.instances {
			if i.zone != 0 {
				continue
			}
			i.fill(now)
			if err := c.exchange(s, i, now, round > 0); err != nil {
				return nil, err
			}
			if round > 0 {
				n++
			}
		}
		began := time.Now()
		m := s.tables[0].Share("10.1.0.1:7720", zoneName(0), now)
		body, err := cluster.EncodeCompressed(&message.Gossip{Load: m})
		if err != nil {
			return nil, err
		}
		if round > 0 {
			c.Share += time.Since(began)
		}
		c.ShareBytes = len(body)
	}
	c.Entry /= time.Duration(n)
	c.Control /= time.Duration(n)
	c.Share /= costRounds
	return c, nil
}

// exchange measures one report and its reply.
func (c *Cost) exchange(s *star, i *instance, now int64, measured bool) error {
	began := time.Now()
	i.report.Known = i.view.Known()
	i.view.RecordSent(&i.report, now)
	body, err := cluster.Encode(&i.report)
	if err != nil {
		return err
	}
	sent := time.Now()
	var r message.LoadReport
	if err := cluster.DecodeCompressed(body, &r); err != nil {
		return err
	}
	answer, err := cluster.Encode(s.tables[0].Report(&r, now))
	if err != nil {
		return err
	}
	answered := time.Now()
	var reply message.LoadReply
	if err := cluster.DecodeCompressed(answer, &reply); err != nil {
		return err
	}
	i.view.Apply(&reply)
	if measured {
		c.Control += answered.Sub(sent)
		c.Entry += sent.Sub(began) + time.Since(answered)
	}
	c.ReportBytes, c.ReplyBytes = len(body), len(answer)
	return nil
}
