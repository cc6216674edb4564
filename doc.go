// Package catkinrail holds the domain types of the catkinrail load balancer and
// the interfaces between its layers.
//
// Implementations live below this package, by layer: transport sends and receives
// bytes, protocol encodes them, coordination takes decisions and state stores their
// results.
package catkinrail
