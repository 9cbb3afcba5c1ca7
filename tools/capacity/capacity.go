// Package capacity measures how the cost of each part grows with the size of
// the system, and prints the slopes with their extrapolation to the target.
package capacity

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// Sizes of the target.
const (
	Instances      = 860
	Upstreams      = 2600
	Models         = 1000
	Adapters       = 1200
	Workspaces     = 2000 // assumed; the target does not say
	DataCentres    = 23
	RequestsPerSec = 45_000.0 / Instances
)

// minTime is the processor time that one figure is measured over at least.
const minTime = 100 * time.Millisecond

// Series is one cost at several sizes.
type Series struct {
	// Name says what is measured, and Per what the size counts.
	Name, Per string
	// Sizes are measured; Target is extrapolated to.
	Sizes  []int
	Target int
	// Build returns the state of a size and an operation on it, which may be
	// nil if only memory counts.
	Build func(size int) (state any, operation func())
	// Idle makes the processor time that of one second in which the state is
	// left alone for so long, in place of an operation.
	Idle time.Duration
	// NoMemory leaves out the memory, where the state is not an instance's own.
	NoMemory bool
	// Encoded returns an encoded message or document of a size. It is set in
	// place of Build.
	Encoded func(size int) int
}

// Point is one size with its costs; those that do not apply are negative.
type Point struct {
	Size                   int
	Micros, Memory, Length float64
}

// Slope is a line through points by least squares.
type Slope struct{ Fixed, Each float64 }

// At returns the value of the line at a size.
func (s Slope) At(size int) float64 { return s.Fixed + s.Each*float64(size) }

// Measure measures all points of a series.
func (s Series) Measure() []Point {
	points := make([]Point, 0, len(s.Sizes))
	for _, size := range s.Sizes {
		p := Point{Size: size, Micros: -1, Memory: -1, Length: -1}
		if s.Encoded != nil {
			p.Length = float64(s.Encoded(size))
			points = append(points, p)
			continue
		}
		before := heap()
		state, operation := s.Build(size)
		if !s.NoMemory {
			p.Memory = max(heap()-before, 0)
		}
		if operation != nil {
			p.Micros = Time(operation)
		}
		if s.Idle > 0 {
			start := processorTime()
			time.Sleep(s.Idle)
			p.Micros = (processorTime() - start).Seconds() * 1e6 / s.Idle.Seconds()
		}
		if c, ok := state.(io.Closer); ok {
			c.Close() //nolint:errcheck // the state is given up.
		}
		runtime.KeepAlive(state)
		points = append(points, p)
	}
	return points
}

// Time returns the processor time of one operation in microseconds, the
// garbage collector's part included.
func Time(operation func()) float64 {
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

// processorTime is what this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the live bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC() // the first one leaves what finalizers and pools held
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) + float64(stats.StackInuse)
}

// Fit returns the line through one value of the points.
func Fit(points []Point, value func(Point) float64) Slope {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		x, y := float64(p.Size), value(p)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	each := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Slope{Fixed: (sy - each*sx) / n, Each: each}
}

// column is one kind of cost.
type column struct {
	name, unit string
	value      func(Point) float64
}

var columns = []column{
	{"processor time", "µs", func(p Point) float64 { return p.Micros }},
	{"memory", "B", func(p Point) float64 { return p.Memory }},
	{"length", "B", func(p Point) float64 { return p.Length }},
}

// Print measures the series and prints one line for each cost.
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
				fmt.Fprintf(w, " %d: %s", p.Size, number(c.value(p)))
			}
			fmt.Fprintf(w, " | %s | %s | %d: %s |\n", number(line.Fixed), number(line.Each), s.Target, number(line.At(s.Target)))
		}
	}
}

// number prints three digits.
func number(v float64) string {
	switch {
	case v >= 1e6 || v <= -1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case v >= 1e4 || v <= -1e4:
		return fmt.Sprintf("%.3gk", v/1e3)
	}
	return fmt.Sprintf("%.3g", v)
}
