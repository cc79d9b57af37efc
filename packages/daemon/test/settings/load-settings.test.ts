import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {loadSettings, parseSettings} from '../../src/settings/load-settings.js';
import {getSettingsText} from './settings-fixture.js';

describe('parseSettings', () => {
	it('reads the committed example', () => {
		const loaded = parseSettings(getSettingsText(), 's.toml').unwrap();
		assert.is(loaded.settings.host, 'entry-1');
		assert.is(loaded.trust.threshold, 2);
		assert.is(loaded.trust.keys.length, 3);
	});

	describe('faults', () => {
		const doTest = (from: string, to: string, expected: readonly string[]) => {
			const text = getSettingsText(from, to);
			const faults = parseSettings(text, 's.toml').unwrapErr();
			const [first] = faults;
			assert.is(faults.length, 1, faults.join('\n'));
			assert.match(first!, /^s\.toml: /v);
			for (const part of expected) {
				assert.ok(first!.includes(part), `${first} lacks ${part}`);
			}
		};

		it('name the key, the value seen and what is allowed', () => {
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
				'IP number',
				'"entry-1.example"',
			]);
			doTest('level = "info"', 'level = "loud"', [
				'logs.level',
				'"debug"|"info"|"warn"|"error"',
				'seen: "loud"',
			]);
		});

		it('name a key that is missing', () => {
			doTest('host = "entry-1"', '', ['host', 'seen: nothing']);
		});

		it('name a key that is unknown', () => {
			doTest('host = "entry-1"', 'host = "entry-1"\nhots = 1', ['hots']);
		});

		it("never show the operators' token", () => {
			const text = getSettingsText(
				'token = "replace-this-token"',
				'token = "short-secret"',
			);
			const faults = parseSettings(text, 's.toml').unwrapErr();
			assert.match(faults.join('\n'), 'operators.token');
			assert.not.match(faults.join('\n'), 'short-secret');
		});

		it('name a key in PEM that is none', () => {
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
		const faults = loadSettings('/no/such/file.toml').unwrapErr();
		assert.match(faults[0]!, '/no/such/file.toml: ');
	});
});
