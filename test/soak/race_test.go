//go:build race

package soak

// The race detector takes several times the memory of the program.
const raceDetector = true
