// Package bench measures the request path with running processes: the latency
// that an instance adds to a request, and the processor time of requests and of
// relayed tokens.
package bench

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the times in /proc/<pid>/stat. Linux reports them
// in hundredths of a second on all architectures that Go supports.
const clockTick = 10 * time.Millisecond

// Usage is the processor time of a process.
type Usage struct{ User, System time.Duration }

// Total returns the sum of user and system time.
func (u Usage) Total() time.Duration { return u.User + u.System }

// Sub returns the processor time used since an earlier reading.
func (u Usage) Sub(earlier Usage) Usage {
	return Usage{User: u.User - earlier.User, System: u.System - earlier.System}
}

// ProcessorTime returns the processor time that a process has used so far, read
// from /proc.
func ProcessorTime(pid int) (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The process name in parentheses may contain spaces; utime and stime are the 12th
	// and 13th fields after it.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return Usage{}, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	userTime, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	systemTime, err := strconv.ParseInt(fields[12], 10, 64)
	return Usage{User: time.Duration(userTime) * clockTick, System: time.Duration(systemTime) * clockTick}, err
}

// Memory is the resident memory of a process in bytes.
type Memory struct {
	Total     int64
	Anonymous int64 // without the pages of the program file
}

// ResidentMemory returns the resident memory of a process, read from /proc.
func ResidentMemory(pid int) (Memory, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Memory{}, err
	}
	var m Memory
	for field, into := range map[string]*int64{"VmRSS:": &m.Total, "RssAnon:": &m.Anonymous} {
		for line := range strings.Lines(string(data)) {
			value, ok := strings.CutPrefix(line, field)
			if !ok {
				continue
			}
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			if err != nil {
				return m, err
			}
			*into = kilobytes << 10
		}
	}
	return m, nil
}

// Metrics returns the metrics without labels, by name, of the instance whose
// administration API listens at the address.
func Metrics(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	values := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if name, value, ok := strings.Cut(lines.Text(), " "); ok && !strings.Contains(name, "{") {
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				values[name] = v
			}
		}
	}
	return values, lines.Err()
}
