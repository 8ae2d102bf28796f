//go:build review

package main

import "github.com/trailshed/trailshed/platform/standin"

// newDocument returns a configuration whose requests that may run only once go to a service.
func newDocument(version int, service string) standin.Document {
	d := standin.NewDocument(version)
	d.Services = append(d.Services, standin.NewService("web-next", 0))
	for i := range d.Routes {
		if d.Routes[i].Name == "unsafe" {
			d.Routes[i].Service = service
		}
	}
	return d
}
