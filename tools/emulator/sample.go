package emulator

import _ "embed"

//go:embed scenarios/sample.json
var sampleScenario []byte

// SampleScenario returns the scenario that a newcomer starts with.
func SampleScenario() (*Scenario, error) { return ParseScenario(sampleScenario) }
