// Package routing chooses the backend server for each request of one service.
package routing
