/** Ratio between the starts of two successive length buckets. */
const RATIO = 1.25;

/** Number of buckets; the last one holds all lengths from about 100,000 tokens on. */
const BUCKET_COUNT = 52;

/** Weight of the prior in each bucket, in generations. */
const PRIOR_WEIGHT = 3;

/** Share of generations that end in a bucket when nothing has been observed; gives a heavy tail. */
const PRIOR_HAZARD = 0.12;

/** Number of ends after which earlier observations count half. */
const HALF_LIFE_ENDS = 1_000;

const LOG_RATIO = Math.log(RATIO);

/** Returns the first length of a bucket. */
function getBucketStart(bucket: number): number {
  return bucket === 0 ? 0 : RATIO ** bucket;
}

/** Returns the fractional bucket index of a length. */
function getBucketPosition(length: number): number {
  return length <= 1 ? 0 : Math.min(Math.log(length) / LOG_RATIO, BUCKET_COUNT - 1e-9);
}

/** Returns the bucket of a length. */
export function getBucket(length: number): number {
  return Math.floor(getBucketPosition(length));
}

/**
 * The distribution of lengths of one kind of generation, learned while generations run: for each
 * bucket, how many reached it and how many ended in it. Running generations count in the buckets
 * that they have passed. If only ended ones counted, every kind would look short at first, and the
 * long generations would fill the engine's memory.
 */
export class LengthDistribution {
  private readonly reached = new Float64Array(BUCKET_COUNT);
  private readonly ended = new Float64Array(BUCKET_COUNT);
  private readonly logSurvival = new Float64Array(BUCKET_COUNT + 1);
  private ends = 0;
  private isStale = true;

  /** `parent` is a wider kind that serves as the prior where there are few observations. */
  public constructor(private readonly parent?: LengthDistribution) {}

  /** Counts the buckets that a running generation has passed since `from`. */
  public recordProgress(from: number, to: number): void {
    for (let bucket = from; bucket < to; bucket += 1) {
      this.reached[bucket]! += 1;
    }
    this.isStale = this.isStale || to > from;
    this.parent?.recordProgress(from, to);
  }

  /** Counts the end of a generation whose earlier buckets are already counted. */
  public recordEnd(bucket: number): void {
    this.reached[bucket]! += 1;
    this.ended[bucket]! += 1;
    this.ends += 1;
    this.isStale = true;
    if (this.ends >= HALF_LIFE_ENDS) {
      this.decay();
    }
    this.parent?.recordEnd(bucket);
  }

  /** Returns the probability that a generation with `from` tokens reaches `to` tokens. */
  public getSurvival(from: number, to: number): number {
    this.refresh();
    return Math.exp(this.getLogSurvival(to) - this.getLogSurvival(from));
  }

  /** Computes the same for several lengths at once, given as offsets from `from`. */
  public fillSurvival(from: number, steps: readonly number[], out: Float64Array): void {
    this.refresh();
    const now = this.getLogSurvival(from);
    for (let i = 0; i < steps.length; i += 1) {
      out[i] = Math.exp(this.getLogSurvival(from + steps[i]!) - now);
    }
  }

  /**
   * Returns the mean number of tokens that a generation with `from` tokens still produces, up to
   * `most` in total.
   */
  public getMeanRemaining(from: number, most: number): number {
    let mean = 0;
    let at = from;
    for (let bucket = getBucket(from) + 1; at < most; bucket += 1) {
      const next = bucket >= BUCKET_COUNT ? most : Math.min(getBucketStart(bucket), most);
      mean += this.getSurvival(from, (at + next) / 2) * (next - at);
      at = next;
    }
    return mean;
  }

  private getLogSurvival(length: number): number {
    const position = getBucketPosition(length);
    const bucket = Math.floor(position);
    const low = this.logSurvival[bucket]!;
    return low + (this.logSurvival[bucket + 1]! - low) * (position - bucket);
  }

  private getHazard(bucket: number): number {
    const prior = this.parent?.getHazard(bucket) ?? PRIOR_HAZARD;
    const ended = this.ended[bucket]! + PRIOR_WEIGHT * prior;
    return ended / (this.reached[bucket]! + PRIOR_WEIGHT);
  }

  private refresh(): void {
    if (!this.isStale) {
      return;
    }
    this.isStale = false;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      const hazard = Math.min(this.getHazard(bucket), 0.999);
      this.logSurvival[bucket + 1] = this.logSurvival[bucket]! + Math.log1p(-hazard);
    }
  }

  private decay(): void {
    this.ends = 0;
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      this.reached[bucket]! /= 2;
      this.ended[bucket]! /= 2;
    }
  }
}
