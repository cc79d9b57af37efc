/** Loads the serving part of the entry process; bundled into `target/serve.cjs`. */

'use strict';

const path = require('node:path');
const {loadModule} = require('./load-module.cjs');

module.exports = loadModule(path.join(__dirname, 'serve-module.cjs')).exports;
