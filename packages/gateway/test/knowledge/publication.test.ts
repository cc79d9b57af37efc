import {describe, it} from '@bilberryscale/testing';
import * as assert from 'uvu/assert';
import {Publication} from '../../src/knowledge/publication.js';
import type {PublishedChanges} from '../../src/knowledge/published-reader.js';
import {decodeTestFact, makeChanges, removed, set} from '../fixtures.js';

function makePublication(): Publication {
	return new Publication({
		decode: decodeTestFact,
		onUnreadable: () => undefined,
	});
}

function getTargets(publication: Publication): string {
	return [...publication.getKnowledge().targets.keys()].toSorted().join(' ');
}

describe('Publication', () => {
	describe('apply', () => {
		function doTest(
			name: string,
			input: readonly PublishedChanges[],
			expected: string,
		): void {
			it(name, () => {
				const publication = makePublication();
				for (const changes of input) {
					publication.apply(changes, undefined);
				}

				assert.is(getTargets(publication), expected);
			});
		}

		const both = makeChanges(5, [set('a', 4), set('b', 5)], true);
		doTest('takes all items', [both], 'a b');
		doTest('removes one', [both, makeChanges(6, [removed('a', 6)])], 'b');
		doTest(
			'does not go back to an older revision',
			[both, makeChanges(7, [removed('a', 7)]), makeChanges(6, [set('a', 6)])],
			'b',
		);
		doTest(
			'removes what all items lack',
			[both, makeChanges(9, [set('b', 5)], true)],
			'b',
		);
		doTest(
			'ignores all items of an older revision',
			[both, makeChanges(6, [set('c', 6)]), makeChanges(5, [], true)],
			'a b c',
		);
		doTest(
			'drops a target whose item is unreadable, and keeps the others',
			[both, makeChanges(6, [set('a', 6, 'broken')])],
			'b',
		);

		it('never goes back to an older plan', () => {
			const publication = makePublication();
			publication.apply(makeChanges(1, [set('plan', 1, '7')]), undefined);
			publication.apply(makeChanges(2, [set('plan', 2, '5')]), undefined);
			assert.is(publication.getKnowledge().plan?.version, 7);
		});
	});

	describe('targets that may come back', () => {
		it('are kept until their time is over', () => {
			const publication = makePublication();
			publication.apply(makeChanges(1, [set('a', 1), set('b', 1)]), undefined);
			publication.apply(makeChanges(2, [removed('a', 2)]), 1000);
			assert.is(getTargets(publication), 'a b');
			publication.dropExpired(999);
			assert.is(getTargets(publication), 'a b');
			publication.dropExpired(1000);
			assert.is(getTargets(publication), 'b');
		});

		it('stay once they are back', () => {
			const publication = makePublication();
			publication.apply(makeChanges(1, [set('a', 1)]), undefined);
			publication.apply(makeChanges(2, [removed('a', 2)]), 1000);
			publication.apply(makeChanges(3, [set('a', 3)]), 1000);
			publication.dropExpired(2000);
			assert.is(getTargets(publication), 'a');
		});
	});

	describe('getChangesAfter', () => {
		it('gives a peer only what it lacks', () => {
			const publication = makePublication();
			publication.apply(makeChanges(5, [set('a', 4)], true), undefined);
			publication.apply(makeChanges(7, [set('b', 7)]), undefined);
			const {isWhole, changes} = publication.getChangesAfter(5);
			assert.is(isWhole, false);
			assert.equal(
				changes.map(({name}) => name),
				['b'],
			);
		});

		it('gives all items where the changes are not kept', () => {
			const publication = makePublication();
			publication.apply(makeChanges(5, [set('a', 4)], true), undefined);
			assert.is(publication.getChangesAfter(3).isWhole, true);
			assert.is(publication.getChangesAfter(undefined).changes.length, 1);
		});
	});
});
