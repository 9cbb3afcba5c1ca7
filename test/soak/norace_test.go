//go:build !race

package soak

const raceDetector = false
