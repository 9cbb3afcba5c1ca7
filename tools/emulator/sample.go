package emulator

import _ "embed"

//go:embed scenarios/sample.json
var sampleScenario []byte

// SampleScenario returns the built-in sample scenario, meant for first use.
func SampleScenario() (*Scenario, error) { return ParseScenario(sampleScenario) }
