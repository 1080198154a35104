// Package settings reads and validates the JSON settings file of one entry host: its name,
// failure domain, listen addresses, services, secrets, limits, logs and traces. The commands run and
// check-settings read it; packages node and telemetry use the result.
package settings
