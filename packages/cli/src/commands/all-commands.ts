/** The list of all commands. */

import {audit} from './audit.js';
import {bundleCheck} from './bundle-check.js';
import {bundleDiff} from './bundle-diff.js';
import {bundleShow} from './bundle-show.js';
import {bundleSign} from './bundle-sign.js';
import {bundleVerify} from './bundle-verify.js';
import type {Command} from './command.js';
import {configCheck} from './config-check.js';
import {explain} from './explain.js';
import {keysGenerate} from './keys-generate.js';
import {settingsCheck} from './settings-check.js';
import {status} from './status.js';

/** All commands, in the order in which the help lists them. */
export const allCommands: readonly Command[] = [
	bundleCheck,
	bundleSign,
	bundleVerify,
	bundleDiff,
	bundleShow,
	configCheck,
	settingsCheck,
	status,
	audit,
	explain,
	keysGenerate,
];
