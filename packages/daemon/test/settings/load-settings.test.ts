import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {loadSettings, parseSettings} from '../../src/settings/load-settings.js';
import {getSettingsText} from './settings-fixture.js';

describe('parseSettings', () => {
	it('reads the example settings', () => {
		const loaded = parseSettings(getSettingsText(), 's.toml').unwrap();
		assert.is(loaded.settings.host, 'entry-1');
		assert.is(loaded.trust.threshold, 2);
		assert.is(loaded.trust.keys.length, 3);
	});

	describe('errors', () => {
		const doTest = (from: string, to: string, expected: readonly string[]) => {
			const text = getSettingsText(from, to);
			const errors = parseSettings(text, 's.toml').unwrapErr();
			const [first] = errors;
			assert.is(errors.length, 1, errors.join('\n'));
			assert.match(first!, /^s\.toml: /v);
			for (const part of expected) {
				assert.ok(first!.includes(part), `${first} lacks ${part}`);
			}
		};

		it('name the key, the actual value and the allowed values', () => {
			doTest('port = 8080', 'port = 80800', [
				'callers.port',
				'65535',
				'seen: 80800',
			]);
			doTest('port = 8080', 'port = "8080"', [
				'callers.port',
				'number',
				'"8080"',
			]);
			doTest('address = "192.0.2.1"', 'address = "entry-1.example"', [
				'callers.address',
				'IP address',
				'"entry-1.example"',
			]);
			doTest('level = "info"', 'level = "loud"', [
				'logs.level',
				'"debug"|"info"|"warn"|"error"',
				'seen: "loud"',
			]);
		});

		it('name a missing key', () => {
			doTest('host = "entry-1"', '', ['host', 'seen: nothing']);
		});

		it('name an unknown key', () => {
			doTest('host = "entry-1"', 'host = "entry-1"\nhots = 1', ['hots']);
		});

		it("never show the operators' token", () => {
			const text = getSettingsText(
				'token = "replace-this-token"',
				'token = "short-secret"',
			);
			const errors = parseSettings(text, 's.toml').unwrapErr();
			assert.match(errors.join('\n'), 'operators.token');
			assert.not.match(errors.join('\n'), 'short-secret');
		});

		it('name an invalid PEM key', () => {
			doTest('-----BEGIN PUBLIC KEY-----', '-----BEGIN-----', [
				'trust.keys',
				'is not a key in PEM',
			]);
		});

		it('name a threshold above the number of signers', () => {
			doTest('threshold = 2', 'threshold = 4', ['trust.threshold', '4', '3']);
		});

		it('name the line of malformed TOML', () => {
			doTest('host = "entry-1"', 'host = = "entry-1"', ['line ', 'column ']);
		});
	});
});

describe('loadSettings', () => {
	it('names a file that cannot be read', () => {
		const errors = loadSettings('/no/such/file.toml').unwrapErr();
		assert.match(errors[0]!, '/no/such/file.toml: ');
	});
});
