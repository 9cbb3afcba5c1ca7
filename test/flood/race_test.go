//go:build race

package flood

// raceDetector is set if the race detector is on. A program takes several times
// its usual memory then.
const raceDetector = true
