// Package examples holds settings and a release note of each user.
package examples
