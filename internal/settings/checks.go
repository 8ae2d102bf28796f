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
		r.problem = "is not an IP number and port such as 127.0.0.1:7000"
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

func between(key string, value, least, most time.Duration) rule {
	r := rule{key: key, value: value.String()}
	if value < least || value > most {
		r.problem = "must lie between " + least.String() + " and " + most.String()
	}
	return r
}

func count(key string, value, least, most int) rule {
	r := rule{key: key, value: strconv.Itoa(value)}
	if value < least || value > most {
		r.problem = "must lie between " + strconv.Itoa(least) + " and " + strconv.Itoa(most)
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
