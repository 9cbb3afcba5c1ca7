//go:build !race

package flood

const raceDetector = false
