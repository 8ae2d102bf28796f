package settings

// Log configures the log, which reports the state changes of this process.
type Log struct {
	Level string `yaml:"level"`
}

func (l Log) rules() []rule {
	return []rule{oneOf("log.level", l.Level, "debug", "info", "warn", "error")}
}
