// Package settings reads the checked JSON settings of one entry host.
package settings
