// Package capacity measures what one real daemon costs as the fleet around it
// grows: processor time, resident memory, allocations and bytes on the wire.
//
// One daemon process runs beside this one. Everything around it, the platform,
// the upstreams and the peers, is a fake in this process on loopback that
// counts the bytes it exchanges with the daemon, by what they are for. A point
// is one size of one series, measured over a window; a line through the points
// of a series (least squares) gives the slope that docs/CAPACITY.md works with.
package capacity
