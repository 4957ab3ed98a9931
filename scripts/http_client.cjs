// Exports the part of undici that the bundled programs use. The main module of undici
// also loads `fetch`, caches and cookies.
const Client = require("../node_modules/undici/lib/dispatcher/client.js");
const buildConnector = require("../node_modules/undici/lib/core/connect.js");

module.exports = { buildConnector, Client };
