package settings

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

func required(key, value string) rule {
	r := rule{key: key, value: value}
	if value == "" {
		r.problem = "must not be empty"
	}
	return r
}

func addrPort(key, value string) rule {
	r := rule{key: key, value: value}
	if _, err := netip.ParseAddrPort(value); err != nil {
		r.problem = "is not an IP address and port such as 127.0.0.1:7000"
	}
	return r
}

func readable(key, value string) rule {
	r := rule{key: key, value: value}
	f, err := os.Open(value)
	if err != nil {
		r.problem = "cannot be read: " + err.Error()
		return r
	}
	_ = f.Close()
	return r
}

func durationBetween(key string, value, minimum, maximum time.Duration) rule {
	r := rule{key: key, value: value.String()}
	if value < minimum || value > maximum {
		r.problem = "must be between " + minimum.String() + " and " + maximum.String()
	}
	return r
}

func intBetween(key string, value, minimum, maximum int) rule {
	r := rule{key: key, value: strconv.Itoa(value)}
	if value < minimum || value > maximum {
		r.problem = "must be between " + strconv.Itoa(minimum) + " and " + strconv.Itoa(maximum)
	}
	return r
}

func oneOf(key, value string, allowed ...string) rule {
	r := rule{key: key, value: value}
	if !slices.Contains(allowed, value) {
		r.problem = "must be one of " + strings.Join(allowed, ", ")
	}
	return r
}
