// The parts of undici that the gateway uses. Its index adds fetch, WebSocket, caches and mocks:
// half of the bundle, loaded at each start.
const { request } = require('undici/lib/api/index.js');
const buildConnector = require('undici/lib/core/connect.js');
const errors = require('undici/lib/core/errors.js');
const Agent = require('undici/lib/dispatcher/agent.js');
const Client = require('undici/lib/dispatcher/client.js');
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const Pool = require('undici/lib/dispatcher/pool.js');

Dispatcher.prototype.request = request;

module.exports = { Agent, Client, Pool, buildConnector, errors };
