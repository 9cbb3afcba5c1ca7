// Package capacity measures how the cost of each component grows with the size
// of the system. It prints linear fits and their extrapolation to the target size.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Sizes of the target system.
const (
	Instances      = 860
	Upstreams      = 2600
	Models         = 1000
	Adapters       = 1200
	Workspaces     = 2000 // assumed; the target does not specify it
	DataCentres    = 23
	RequestsPerSec = 45_000.0 / Instances
)

// minTime is the minimum processor time that each figure is measured over.
const minTime = 100 * time.Millisecond

// Series describes the measurement of one component at several sizes.
type Series struct {
	// Name is the title of the measurement, and Per the unit of the size.
	Name, Per string
	// Sizes are the measured sizes, and Target the size to extrapolate to.
	Sizes  []int
	Target int
	// Build returns the state for a size and an operation on it. The operation
	// may be nil if only memory or the idle cost is measured. A state that
	// implements io.Closer is closed after the measurement.
	Build func(size int) (state any, operation func())
	// IdleTime, if set, is how long the idle state is observed. The processor
	// time is then that per second of idling, not that of an operation.
	IdleTime time.Duration
	// NoMemory omits the memory, for state that an instance does not hold.
	NoMemory bool
	// EncodedLength returns the length in bytes of the encoded message or
	// document for a size. If it is set, Build is not used.
	EncodedLength func(size int) int
}

// Point holds the costs at one size: processor time in microseconds, memory and
// encoded length in bytes. Costs that do not apply are negative.
type Point struct {
	Size                   int
	Micros, Memory, Length float64
}

// Slope is a line fitted to points by least squares.
type Slope struct{ Fixed, PerUnit float64 }

// At returns the value of the line at the given size.
func (s Slope) At(size int) float64 { return s.Fixed + s.PerUnit*float64(size) }

// Measure measures the series at all its sizes.
func (s Series) Measure() []Point {
	points := make([]Point, 0, len(s.Sizes))
	for _, size := range s.Sizes {
		p := Point{Size: size, Micros: -1, Memory: -1, Length: -1}
		if s.EncodedLength != nil {
			p.Length = float64(s.EncodedLength(size))
			points = append(points, p)
			continue
		}
		before := liveBytes()
		state, operation := s.Build(size)
		if !s.NoMemory {
			p.Memory = max(liveBytes()-before, 0)
		}
		if operation != nil {
			p.Micros = OperationTime(operation)
		}
		if s.IdleTime > 0 {
			start := processorTime()
			time.Sleep(s.IdleTime)
			p.Micros = (processorTime() - start).Seconds() * 1e6 / s.IdleTime.Seconds()
		}
		if c, ok := state.(io.Closer); ok {
			c.Close() //nolint:errcheck // the state is not used again.
		}
		runtime.KeepAlive(state)
		points = append(points, p)
	}
	return points
}

// OperationTime returns the processor time of one operation in microseconds,
// garbage collection included.
func OperationTime(operation func()) float64 {
	operation() // warm up
	for n := 1; ; n *= 4 {
		start := processorTime()
		for range n {
			operation()
		}
		if used := processorTime() - start; used >= minTime {
			return used.Seconds() * 1e6 / float64(n)
		}
	}
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveBytes returns the size of the live heap and of the stacks in bytes.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC() // the first run does not free objects held by finalizers and pools
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// Fit returns the least-squares line through one cost of the points.
func Fit(points []Point, value func(Point) float64) Slope {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := float64(p.Size), value(p)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	each := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Slope{Fixed: (sy - each*sx) / n, PerUnit: each}
}

// column describes how one kind of cost is printed.
type column struct {
	name, unit string
	value      func(Point) float64
}

var columns = []column{
	{"processor time", "µs", func(p Point) float64 { return p.Micros }},
	{"memory", "B", func(p Point) float64 { return p.Memory }},
	{"length", "B", func(p Point) float64 { return p.Length }},
}

// Print measures the series and prints a table with one row per cost.
func Print(w io.Writer, list []Series) {
	fmt.Fprintf(w, "| series | cost | per | measured at | fixed | each | at target |\n|---|---|---|---|---|---|---|\n")
	for _, s := range list {
		points := s.Measure()
		for _, c := range columns {
			if c.value(points[0]) < 0 {
				continue
			}
			line := Fit(points, c.value)
			fmt.Fprintf(w, "| %s | %s, %s | %s |", s.Name, c.name, c.unit, s.Per)
			for _, p := range points {
				fmt.Fprintf(w, " %d: %s", p.Size, formatNumber(c.value(p)))
			}
			fmt.Fprintf(w, " | %s | %s | %d: %s |\n", formatNumber(line.Fixed), formatNumber(line.PerUnit), s.Target, formatNumber(line.At(s.Target)))
		}
	}
}

// formatNumber formats a number with three significant digits.
func formatNumber(v float64) string {
	switch {
	case v >= 1e6 || v <= -1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 1e4 || v <= -1e4:
		return fmt.Sprintf("%.3gk", v/1e3)
	}
	return fmt.Sprintf("%.3g", v)
}
