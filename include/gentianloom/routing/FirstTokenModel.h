#ifndef GENTIANLOOM_ROUTING_FIRST_TOKEN_MODEL_H
#define GENTIANLOOM_ROUTING_FIRST_TOKEN_MODEL_H

namespace gentianloom {

/**
 * @brief Predicts the time to the first event from the prompt tokens that have to be read before
 * it.
 *
 * A straight line through what was observed lately (least squares; older observations count less).
 * Pure.
 */
class FirstTokenModel
{
public:
  /// @param aTokens tokens to read, those of other requests in front included
  void Learn(double aTokens, double aMillis);

  /// @brief Time to the first event, milliseconds.
  double Predict(double aTokens) const;

  /// @brief Time to read so many tokens, milliseconds.
  double ReadTime(double aTokens) const { return Slope() * aTokens; }

private:
  double Slope() const;
  double Base() const;

  double mWeight = 0;
  double mTokens = 0;
  double mMillis = 0;
  double mTokensSquared = 0;
  double mProduct = 0;
};

} // namespace gentianloom

#endif
