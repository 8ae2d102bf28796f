package settings

// Log is what the process writes about its changes of state.
type Log struct {
	Level string `yaml:"level"`
}

func (l Log) rules() []rule {
	return []rule{oneOf("log.level", l.Level, "debug", "info", "warn", "error")}
}
